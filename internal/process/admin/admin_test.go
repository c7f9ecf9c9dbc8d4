package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"carawayspread"
	"carawayspread/internal/connection/adminapi"
)

// emptyHolder holds the empty configuration; its other methods must not be called.
type emptyHolder struct{ Holder }

func (emptyHolder) Current(context.Context) *carawayspread.Config {
	return carawayspread.NewConfig(0, nil, nil, nil)
}

// Malformed requests must be refused before any call to the configuration log.
func TestRefusesBadRequests(t *testing.T) {
	large := strings.Repeat(" ", maxBodyBytes+1)
	tests := map[string]struct {
		method, target, actor, body string
		want                        carawayspread.Code
	}{
		"no such path":      {http.MethodGet, "/admin/v1/classes", "ana", "", carawayspread.CodeNotFound},
		"wrong method":      {http.MethodPost, "/admin/v1/class", "ana", "", carawayspread.CodeMethod},
		"no actor":          {http.MethodPut, "/admin/v1/class/a?against=0", "", "{}", carawayspread.CodeMalformed},
		"no version":        {http.MethodPut, "/admin/v1/class/a", "ana", "{}", carawayspread.CodeMalformed},
		"version no number": {http.MethodDelete, "/admin/v1/class/a?against=-1", "ana", "", carawayspread.CodeMalformed},
		"wait too long":     {http.MethodDelete, "/admin/v1/class/a?against=1&wait=2h", "ana", "", carawayspread.CodeMalformed},
		"body too large":    {http.MethodPost, "/admin/v1/changes?against=1", "ana", large, carawayspread.CodeTooLarge},
		"malformed drain":   {http.MethodPost, "/admin/v1/drain", "ana", `{"instanc": "x"}`, carawayspread.CodeMalformed},
		"malformed day":     {http.MethodGet, "/admin/v1/audit?day=today", "ana", "", carawayspread.CodeMalformed},
		"unknown class":     {http.MethodGet, "/admin/v1/class/a", "ana", "", carawayspread.CodeNotFound},
	}
	discardLogger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			api := New(nil, emptyHolder{}, nil, carawayspread.SystemClock(), WithLogger(discardLogger))
			r := httptest.NewRequest(test.method, test.target, strings.NewReader(test.body))
			r.Header.Set(adminapi.HeaderActor, test.actor)
			w := httptest.NewRecorder()
			api.ServeHTTP(w, r)
			var fault adminapi.Fault
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &fault), qt.IsNil)
			qt.Check(t, fault.Error.Code, qt.Equals, test.want)
			qt.Check(t, fault.Error.NotRun, qt.IsTrue)
			qt.Check(t, w.Code, qt.Equals, test.want.Status())
		})
	}
}
