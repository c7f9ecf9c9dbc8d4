package dynamodb

import (
	"testing"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// An accepted item has a revision that is a whole number above zero, and is unchanged after it is
// encoded and decoded again.
func FuzzDecodeItem(f *testing.F) {
	f.Add("p", "s", "1", "t", []byte(`{}`), uint8(0))
	f.Add("p", "s", "-1", "t", []byte(nil), uint8(3))
	f.Add("p", "s", "1e3", "t", []byte(nil), uint8(5))
	f.Fuzz(func(t *testing.T, partition, sort, rev, token string, body []byte, missing uint8) {
		row := encodeKey(carawayspread.Key{Partition: partition, Sort: sort})
		row[attributeRev] = &types.AttributeValueMemberN{Value: rev}
		row[attributeToken] = stringValue(token)
		row[attributeBody] = &types.AttributeValueMemberB{Value: body}
		names := []string{"", attributePartition, attributeSort, attributeRev, attributeToken, attributeBody}
		delete(row, names[int(missing)%len(names)])
		item, err := decodeItem(row)
		if err != nil {
			return
		}
		qt.Assert(t, item.Rev > 0, qt.IsTrue)
		roundTripped, err := decodeItem(encodeItem(carawayspread.Write{Item: item, IfRev: item.Rev - 1}))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, roundTripped.Key, qt.Equals, item.Key)
		qt.Assert(t, roundTripped.Rev, qt.Equals, item.Rev)
		qt.Assert(t, string(roundTripped.Body), qt.Equals, string(item.Body))
	})
}
