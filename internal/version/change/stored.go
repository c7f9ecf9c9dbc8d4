package change

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"carawayspread"
)

// UnmarshalJSON decodes a change that was checked before it was stored. It keeps no positions in
// the text, which saves most of the time and memory that the start of a daemon takes. Unknown
// fields are ignored: a daemon that failed on a field stored by a newer one would never reach the
// versions after it.
func (c *Change) UnmarshalJSON(body []byte) error {
	var stored Stored
	if err := json.Unmarshal(body, &stored); err != nil {
		return trace.BadParameter("stored change: %v", err)
	}
	read, err := stored.Change()
	if err != nil {
		return err
	}
	*c = *read
	return nil
}

// Change returns the change that s encodes.
func (s Stored) Change() (*Change, error) {
	c := &Change{}
	if s.Delete != nil {
		c.delete = *s.Delete
	}
	if s.Set != nil {
		var err error
		if c.set, err = s.Set.values(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (w *wireValues) values() (values, error) {
	var v values
	for _, class := range w.Classes {
		target, err := class.target()
		if err != nil {
			return values{}, trace.BadParameter("stored class %s: %v", class.Name, err)
		}
		v.classes = append(v.classes, carawayspread.NewClass(class.Name, target, class.AtMostOnce))
	}
	for _, workspace := range w.Workspaces {
		v.workspaces = append(v.workspaces, carawayspread.NewWorkspace(workspace.Name))
	}
	for _, s := range w.Services {
		service := carawayspread.NewService(s.Name, carawayspread.Kind(s.Kind), s.Models, s.Repeatable)
		v.services = append(v.services, service)
	}
	return v, nil
}

func (c Class) target() (carawayspread.Target, error) {
	var parts [3]time.Duration
	for i, text := range []string{c.FirstToken, c.BetweenTokens, c.Whole} {
		if text == "" {
			continue
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return carawayspread.Target{}, err
		}
		parts[i] = d
	}
	return carawayspread.NewTarget(parts[0], parts[1], parts[2], c.Share), nil
}
