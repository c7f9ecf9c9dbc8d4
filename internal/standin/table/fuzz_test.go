package table

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"carawayspread"
)

// Sends arbitrary operations and bodies. Guards against a panic or a status outside the protocol,
// and against a refused request that stores items.
func FuzzServe(f *testing.F) {
	key := `{"partition":{"S":"p"},"sort":{"S":"s"}`
	f.Add("GetItem", `{"TableName":"t","Key":`+key+`}}`)
	f.Add("Query", `{"KeyConditionExpression":"#p = :p","ExpressionAttributeNames":{"#p":"partition"},"ExpressionAttributeValues":{":p":{"S":"p"}}}`)
	f.Add("PutItem", `{"Item":`+key+`,"rev":{"N":"1"}},"ConditionExpression":"rev = :r","ExpressionAttributeValues":{":r":{"N":"x"}}}`)
	f.Add("TransactWriteItems", `{"TransactItems":[{},{"Put":{}},{"Delete":{"Key":`+key+`}}}]}`)
	f.Fuzz(func(t *testing.T, operation, body string) {
		service := New(carawayspread.SystemClock())
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		r.Header.Set("X-Amz-Target", targetPrefix+operation)
		w := httptest.NewRecorder()
		service.ServeHTTP(w, r)
		qt.Assert(t, w.Code == http.StatusOK || w.Code == http.StatusBadRequest, qt.IsTrue)
		qt.Assert(t, w.Code == http.StatusOK || service.Len() == 0, qt.IsTrue)
	})
}
