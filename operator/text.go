package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"mangoloft/event"
)

// cellPadding is the number of spaces between two columns.
const cellPadding = 2

// WriteStatus writes the JSON of a status as a table.
func WriteStatus(w io.Writer, content json.RawMessage) error {
	return writeStatus(w, content, time.Now())
}

func writeStatus(w io.Writer, content json.RawMessage, now time.Time) error {
	var wire statusWire
	if err := json.Unmarshal(content, &wire); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, cellPadding, ' ', 0)
	fmt.Fprintf(table, "instance\t%s in %s, incarnation %s\n", wire.Instance, wire.DataCentre, wire.Incarnation)
	fmt.Fprintf(table, "state\t%s\n", stateOf(wire))
	fmt.Fprintf(table, "configuration\t%s\n", configurationOf(wire))
	fmt.Fprintf(table, "platform\t%s\n", platformOf(wire, now))
	fmt.Fprintf(table, "open requests\t%d\n", wire.OpenRequests)
	fmt.Fprintf(table, "audit trail\t%d records, %d dropped, last hash %s\n", wire.Audit.Sequence, wire.Audit.Dropped, wire.Audit.Hash)
	fmt.Fprintf(table, "peers alive\t%d\n", len(wire.PeerStates))
	fmt.Fprintf(table, "upstreams\t%d\n", len(wire.Upstreams))
	writePeers(table, wire.PeerStates)
	writeUpstreams(table, wire.Upstreams)
	return table.Flush()
}

func writePeers(table io.Writer, peers []peerWire) {
	if len(peers) > 0 {
		fmt.Fprintln(table, "\nPEER\tDATA CENTRE\tINCARNATION\tCONFIGURATION\tSTATE")
	}
	for _, p := range peers {
		state := "alive"
		switch {
		case p.Stopping:
			state = "stopping"
		case p.ConfigFailed:
			state = "alive, can't reach the configuration service"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\tversion %d\t%s\n", p.Name, p.DataCentre, p.Incarnation, p.ConfigVersion, state)
	}
}

func writeUpstreams(table io.Writer, upstreams []upstreamWire) {
	if len(upstreams) > 0 {
		fmt.Fprintln(table, "\nUPSTREAM\tPOOL\tDATA CENTRE\tSTATE")
	}
	for _, u := range upstreams {
		state := "live"
		if u.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", u.Name, u.Pool, u.DataCentre, state)
	}
}

func stateOf(wire statusWire) string {
	switch {
	case wire.Stopping:
		return "stopping"
	case wire.Ready:
		return "ready"
	case len(wire.MissingPrerequisites) > 0:
		return "not ready, lacks " + strings.Join(wire.MissingPrerequisites, ", ")
	}
	return "not ready"
}

func platformOf(wire statusWire, now time.Time) string {
	text := fmt.Sprintf("configuration service contacted %s, instance list read %s", ago(now, wire.ConfigContactAt), ago(now, wire.ListReadAt))
	if wire.Reader {
		text += ", read here for the data centre"
	}
	return text
}

// ago formats the time since at.
func ago(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.1f s ago", now.Sub(at).Seconds())
}

func configurationOf(wire statusWire) string {
	if wire.ConfigVersion == 0 {
		return "none yet"
	}
	return fmt.Sprintf("version %d, digest %s", wire.ConfigVersion, wire.ConfigDigest)
}

// recordWire contains the fields of an audit record that an explanation prints. The
// content of a record other than RequestEnded is printed as JSON.
type recordWire struct {
	Event    event.ID        `json:"event"`
	Name     string          `json:"name"`
	Instance string          `json:"instance"`
	Time     time.Time       `json:"time"`
	Record   json.RawMessage `json:"record"`
}

// endedWire is the content of a RequestEnded record.
type endedWire struct {
	ID         string    `json:"id"`
	Team       string    `json:"team"`
	Class      string    `json:"class"`
	Route      string    `json:"route"`
	Verdict    string    `json:"verdict"`
	Reason     string    `json:"reason"`
	Detail     string    `json:"detail"`
	Upstream   string    `json:"upstream"`
	Generation string    `json:"generation"`
	Tokens     int       `json:"tokens"`
	FirstIndex int       `json:"first_index"`
	Steps      []string  `json:"steps"`
	ArrivedAt  time.Time `json:"arrived_at"`
	FirstAt    time.Time `json:"first_token_at"`
	EndedAt    time.Time `json:"ended_at"`
}

// line is one line of an explanation.
type line struct {
	// at is the time by which the lines are sorted.
	at time.Time
	// timeText is the printed time since the arrival of the request. It is blank if
	// the time is unknown, as for a step.
	timeText, text string
}

// WriteExplanation writes the JSON of a request's audit records as text: a summary,
// and a line for each step and record, with the time since the arrival of the request
// if it is known.
func WriteExplanation(w io.Writer, content json.RawMessage) error {
	var records []recordWire
	if err := json.Unmarshal(content, &records); err != nil {
		return err
	}
	var text strings.Builder
	var lines []line
	var start time.Time
	for _, r := range records {
		var ended endedWire
		if r.Event == event.RequestEnded && json.Unmarshal(r.Record, &ended) == nil {
			start = ended.ArrivedAt
			writeSummary(&text, r, ended)
			lines = append(lines, stepLines(ended)...)
		}
	}
	for _, r := range records {
		if r.Event != event.RequestEnded {
			lines = append(lines, line{r.Time, since(start, r.Time), fmt.Sprintf("%s: %s", r.Name, r.Record)})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		fmt.Fprintf(&text, "  %s  %s\n", l.timeText, l.text)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func writeSummary(text *strings.Builder, r recordWire, e endedWire) {
	fmt.Fprintf(text, "request %s: %s, %s\n", e.ID, e.Verdict, e.Reason)
	fmt.Fprintf(text, "  %s for class %s of team %s, at %s on %s\n",
		e.Route, orNone(e.Class), orNone(e.Team), r.Instance, e.ArrivedAt.UTC().Format("2006-01-02 15:04:05.000 MST"))
}

// stepLines returns a line for each step of the request, and for its arrival, its
// first token and its end.
func stepLines(e endedWire) []line {
	lines := []line{{e.ArrivedAt, since(e.ArrivedAt, e.ArrivedAt), "arrived"}}
	for _, step := range e.Steps {
		lines = append(lines, line{e.ArrivedAt, blankTime, step})
	}
	if !e.FirstAt.IsZero() {
		firstToken := fmt.Sprintf("first token, number %d of generation %s at %s", e.FirstIndex, e.Generation, e.Upstream)
		lines = append(lines, line{e.FirstAt, since(e.ArrivedAt, e.FirstAt), firstToken})
	}
	end := fmt.Sprintf("ended: %s, %s; %d tokens delivered", e.Verdict, e.Reason, e.Tokens)
	if e.Detail != "" {
		end += "; " + e.Detail
	}
	return append(lines, line{e.EndedAt, since(e.ArrivedAt, e.EndedAt), end})
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

// blankTime is printed for an unknown time.
const blankTime = "           "

// since formats the time from start to at, and returns blankTime if start is unknown.
func since(start, at time.Time) string {
	if start.IsZero() {
		return blankTime
	}
	return fmt.Sprintf("%+10.3fs", at.Sub(start).Seconds())
}
