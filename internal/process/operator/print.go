package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v2"

	"carawayspread/internal/connection/adminapi"
	"carawayspread/internal/version/auditrecord"
	"carawayspread/internal/version/record"
)

// printer writes answers as text for operators.
type printer struct {
	w io.Writer
}

// output prints an answer as text, or as JSON with --json.
func output(c *cli.Context, answer any, text func(printer)) error {
	if c.Bool(flagJSON) {
		return printer{w: c.App.Writer}.json(answer)
	}
	text(printer{w: c.App.Writer})
	return nil
}

func (p printer) json(value any) error {
	encoder := json.NewEncoder(p.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (p printer) line(format string, args ...any) { fmt.Fprintf(p.w, format+"\n", args...) }

// table prints rows of cells in aligned columns.
func (p printer) table(header string, rows [][]string) {
	columns := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	_ = columns.Flush()
}

func (p printer) changed(changed adminapi.ChangeResult) {
	p.line("accepted as version %d, replaces version %d: %s", changed.Version, changed.Replaced, strings.Join(changed.Touches, ", "))
	p.rollout(changed.RolloutStatus)
}

func (p printer) rollout(status adminapi.RolloutStatus) {
	switch {
	case status.ListError != "":
		p.line("in force: not known, %s", status.ListError)
	case status.InForce:
		p.line("in force on every listed instance")
	default:
		p.line("not yet in force everywhere, instances without confirmation: %d", len(status.Unconfirmed))
		for _, u := range status.Unconfirmed {
			p.line("  %s: %s", u.Instance, u.Reason)
		}
	}
}

func (p printer) fault(fault adminapi.FaultDetail) {
	p.line("%s: %s", fault.Code, fault.Message)
	for _, f := range fault.Findings {
		p.line("  %s", f)
	}
	for _, r := range fault.Since {
		p.record(r, "  ")
	}
	if fault.Attempt != "" {
		p.line("  the attempt was %s", fault.Attempt)
	}
}

func (p printer) record(r record.Record, indent string) {
	at := r.At.Format(time.RFC3339)
	p.line("%sversion %d by %s at %s (%s): %s", indent, r.Version, r.Actor, at, r.Attempt, strings.Join(r.Change.Touches(), ", "))
}

func (p printer) audit(a auditrecord.AuditRecord) {
	verdict := a.Verdict
	if a.Code != "" {
		verdict = fmt.Sprintf("%s (%s)", a.Verdict, a.Code)
	}
	p.line("%s %s %s %s: %s", a.At.Format(time.RFC3339), a.Actor, a.Action, verdict, strings.Join(a.Touches, ", "))
	if a.Action == auditrecord.Change {
		p.line("  made against version %d (%s)", a.Against, a.Attempt)
	}
	if a.Version > 0 {
		p.line("  became version %d", a.Version)
	}
	p.value("from", a.From)
	p.value("to", a.To)
	for _, line := range strings.Split(a.Reason, "\n") {
		if line != "" {
			p.line("  %s", line)
		}
	}
}

func (p printer) value(name string, value interface{ Len() int }) {
	if body, err := json.Marshal(value); err == nil && string(body) != "null" {
		p.line("  %s %s", name, body)
	}
}

func (p printer) status(status adminapi.Status) {
	p.line("version %d", status.Version)
	p.rollout(status.RolloutStatus)
	rows := make([][]string, 0, len(status.Instances))
	for _, i := range status.Instances {
		rows = append(rows, []string{
			i.ID, string(i.Role), string(i.State), i.Zone, fmt.Sprint(i.Version), yesNo(i.Confirmed), yesNo(i.Draining), formatEndpoints(i),
		})
	}
	p.table("INSTANCE ROLE STATE ZONE VERSION CONFIRMED DRAINING ENDPOINTS", rows)
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func formatEndpoints(instance adminapi.Instance) string {
	var list []string
	for _, e := range instance.Endpoints {
		text := fmt.Sprintf("%s %d/%d", e.ID, e.Running, e.Slots)
		if e.Draining {
			text += " draining"
		}
		if e.Crashed {
			text += " crashed"
		}
		list = append(list, text)
	}
	return strings.Join(list, ", ")
}
