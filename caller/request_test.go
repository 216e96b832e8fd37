package caller

import (
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"mangoloft/verdict"
)

// TestDowngradeUnproven checks which refusals of a call keep the verdict NotRun, and
// that a response with another verdict contains the request's ticket.
func TestDowngradeUnproven(t *testing.T) {
	tests := map[string]struct {
		path, ticket, responseTicket string
		outcome                      verdict.Outcome
		want                         verdict.Verdict
	}{
		"no ticket":                            {callsPath, "", "", notRun(verdict.Stopping), verdict.NotRun},
		"a stopping instance":                  {callsPath, "t1", "", notRun(verdict.Stopping), verdict.MayHaveRun},
		"a full instance":                      {callsPath, "t1", "", notRun(verdict.Overloaded), verdict.MayHaveRun},
		"an instance without the class":        {callsPath, "t1", "", notRun(verdict.UnknownClass), verdict.MayHaveRun},
		"a stopping home":                      {callsPath, "t1", "t1", notRun(verdict.Stopping), verdict.MayHaveRun},
		"a home that closes the ticket":        {callsPath, "t1", "t2", notRun(verdict.NoUpstream), verdict.NotRun},
		"a home that closed the ticket before": {callsPath, "t1", "t1", notRun(verdict.TicketClosed), verdict.NotRun},
		"a key that is not a ticket":           {callsPath, "key", "key", notRun(verdict.ForeignKey), verdict.NotRun},
		"a completion with a client's key":     {completionsPath, "key", "", notRun(verdict.Overloaded), verdict.NotRun},
		"a call that ran":                      {callsPath, "t1", "t1", verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.AlreadyRan}, verdict.Ran},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest("POST", "/", nil)
			c := echo.New().NewContext(request, httptest.NewRecorder())
			c.SetPath(test.path)
			c.Request().Header.Set(ticketHeader, test.ticket)
			c.Response().Header().Set(ticketHeader, test.responseTicket)
			got := (&exchange{Context: c}).downgradeUnproven(test.outcome)
			assert.Equal(t, got.Verdict, test.want)
			assert.Equal(t, got.Reason, test.outcome.Reason)
			if got.Verdict != test.outcome.Verdict {
				assert.Equal(t, c.Response().Header().Get(ticketHeader), test.ticket)
			}
		})
	}
}

func notRun(r verdict.Reason) verdict.Outcome {
	return verdict.Outcome{Verdict: verdict.NotRun, Reason: r}
}
