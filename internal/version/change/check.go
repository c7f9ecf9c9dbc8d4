package change

import (
	"fmt"
	"regexp"

	"carawayspread"
	"carawayspread/internal/version/finding"
)

// validName matches names that need no escaping in a header or a path.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)

// maxFindings bounds the findings of one change that are reported, since each value of a long list may be one.
const maxFindings = 1000

// checker collects the findings of one change against one configuration.
type checker struct {
	change   *Change
	cfg      *carawayspread.Config
	findings finding.List
}

// Check returns every finding of the change against the configuration that it
// is to be applied to, as a finding.List, or nil.
func (c *Change) Check(cfg *carawayspread.Config) error {
	k := &checker{change: c, cfg: cfg}
	k.findings = append(k.findings, c.parseFindings...)
	if c.Len() == 0 && len(k.findings) == 0 {
		k.add("", "the change neither sets nor deletes anything")
	}
	k.classes()
	k.workspaces()
	k.services()
	return k.findings.Err()
}

// add records a finding unless parsing has reported one at the same path, or there are maxFindings.
func (k *checker) add(path, format string, args ...any) {
	if len(k.findings) < maxFindings && !k.hasParseFinding(path) {
		k.findings.Add(k.change.place(path), format, args...)
	}
}

func (k *checker) hasParseFinding(path string) bool {
	return k.change.parseFindings.HasPath(k.change.textPath(path))
}

func (k *checker) classes() {
	k.names("classes", nameList(k.change.set.classes), k.change.delete.Classes, func(name string) bool {
		_, ok := k.cfg.Class(name)
		return ok
	})
	for i, class := range k.change.set.classes {
		k.target(fmt.Sprintf("set.classes[%d]", i), class.Target())
	}
}

func (k *checker) target(path string, target carawayspread.Target) {
	if target.FirstToken() < 0 || target.BetweenTokens() < 0 || target.Whole() < 0 {
		k.add(path, "a duration of a target must not be negative")
	}
	malformed := k.hasParseFinding(path+".firstToken") || k.hasParseFinding(path+".whole")
	if target.FirstToken() == 0 && target.Whole() == 0 && !malformed {
		k.add(path, "needs a target for firstToken or whole")
	}
	if target.Whole() > 0 && target.FirstToken() > target.Whole() {
		k.add(path+".firstToken", "must not exceed whole, %v, is %v", target.Whole(), target.FirstToken())
	}
	if !(target.Share() > 0 && target.Share() <= 1) {
		k.add(path+".share", "must be above 0 and at most 1, is %v", target.Share())
	}
}

func (k *checker) workspaces() {
	k.names("workspaces", nameList(k.change.set.workspaces), k.change.delete.Workspaces, func(name string) bool {
		_, ok := k.cfg.Workspace(name)
		return ok
	})
}

func (k *checker) services() {
	k.names("services", nameList(k.change.set.services), k.change.delete.Services, func(name string) bool {
		_, ok := k.cfg.Service(name)
		return ok
	})
	offered := k.offeredByOthers()
	for i, service := range k.change.set.services {
		path := fmt.Sprintf("set.services[%d]", i)
		k.service(path, service)
		for j, model := range service.Models() {
			if other, taken := offered[model]; taken {
				k.add(fmt.Sprintf("%s.models[%d]", path, j), "service %s offers the model %s already", other, model)
			}
			offered[model] = service.Name()
		}
	}
}

func (k *checker) service(path string, service carawayspread.Service) {
	switch service.Kind() {
	case carawayspread.KindModel:
		if len(service.Models()) == 0 {
			k.add(path+".models", "a model service needs at least one model")
		}
		if service.Repeatable() {
			k.add(path+".repeatable", "states something about plain services only")
		}
	case carawayspread.KindPlain:
		if len(service.Models()) > 0 {
			k.add(path+".models", "a plain service offers no models")
		}
	default:
		k.add(path+".kind", "must be model or plain, is %q", string(service.Kind()))
	}
}

// offeredByOthers maps each model to the service that offers it, without the services that the
// change sets or deletes.
func (k *checker) offeredByOthers() map[string]string {
	offered := map[string]string{}
	if len(k.change.set.services) == 0 {
		return offered
	}
	replaced := map[string]bool{}
	for _, name := range append(nameList(k.change.set.services), k.change.delete.Services...) {
		replaced[name] = true
	}
	for _, service := range k.cfg.Services() {
		for _, model := range service.Models() {
			if !replaced[service.Name()] {
				offered[model] = service.Name()
			}
		}
	}
	return offered
}

// names checks that the names of one kind are valid and occur once in the change, and that those
// to be deleted exist.
func (k *checker) names(kind string, set, deleted []string, exists func(string) bool) {
	seen := map[string]bool{}
	for i, name := range set {
		path := fmt.Sprintf("set.%s[%d].name", kind, i)
		if !validName.MatchString(name) {
			k.add(path, "must be letters, digits, dots, dashes and underscores, is %q", name)
		}
		if seen[name] {
			k.add(path, "stands twice in the change: %q", name)
		}
		seen[name] = true
	}
	for i, name := range deleted {
		path := fmt.Sprintf("delete.%s[%d]", kind, i)
		switch {
		case seen[name]:
			k.add(path, "stands twice in the change: %q", name)
		case !exists(name):
			k.add(path, "there is no %q to delete", name)
		}
		seen[name] = true
	}
}
