package dynamodb

import (
	"testing"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// What the decoder accepts has a revision that is a whole number above zero
// and comes back the same when it is written again.
func FuzzDecodeItem(f *testing.F) {
	f.Add("p", "s", "1", "t", []byte(`{}`), uint8(0))
	f.Add("p", "s", "-1", "t", []byte(nil), uint8(3))
	f.Add("p", "s", "1e3", "t", []byte(nil), uint8(5))
	f.Fuzz(func(t *testing.T, partition, sort, rev, token string, body []byte, missing uint8) {
		row := encodeKey(carawayspread.Key{Partition: partition, Sort: sort})
		row[attributeRev] = &types.AttributeValueMemberN{Value: rev}
		row[attributeToken] = text(token)
		row[attributeBody] = &types.AttributeValueMemberB{Value: body}
		names := []string{"", attributePartition, attributeSort, attributeRev, attributeToken, attributeBody}
		delete(row, names[int(missing)%len(names)])
		item, err := decodeItem(row)
		if err != nil {
			return
		}
		qt.Assert(t, item.Rev > 0, qt.IsTrue)
		again, err := decodeItem(encodeItem(carawayspread.Write{Item: item, IfRev: item.Rev - 1}))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Key, qt.Equals, item.Key)
		qt.Assert(t, again.Rev, qt.Equals, item.Rev)
		qt.Assert(t, string(again.Body), qt.Equals, string(item.Body))
	})
}
