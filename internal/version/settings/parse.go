package settings

import (
	_ "embed" // the defaults are a data file
	"net/netip"
	"time"

	"carawayspread"
	"carawayspread/internal/version/document"
)

//go:embed defaults.jsonc
var defaults []byte

const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 1 << 30
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxSlots       = 4096
	// minMemoryMegabytes holds the process itself and some requests.
	minMemoryMegabytes = 64
	maxMemoryMegabytes = 1 << 20
	// memoryPerBodyByte is the memory of a process that holds one request of the largest size: a sixteenth of the
	// memory is for a single prompt, of which decoding takes twice its size more.
	memoryPerBodyByte = 16
	// minDescriptors suffice for the addresses of the process and some connections.
	minDescriptors = 64
	maxDescriptors = 1 << 20
	minTimeout     = time.Millisecond
	maxTimeout     = 24 * time.Hour
	// minBetweenBytes exceeds the second between two heartbeats of a sidecar; a shorter timeout
	// would abort every request that waits for its first byte.
	minBetweenBytes = 1500 * time.Millisecond
	// minGrace exceeds the time that a daemon takes to shut down, so that running requests have
	// time to finish.
	minGrace = 5 * time.Second
)

// Parse checks a settings file. Its error lists every finding.
func Parse(name string, body []byte) (*Settings, error) {
	s := &Settings{}
	preset := document.Parse("defaults.jsonc", defaults)
	s.limits.read(preset.Field("limits"))
	s.timeouts.read(preset.Field("timeouts"))
	s.platform.read(preset.Field("platform"), "")
	if err := preset.Err(); err != nil {
		return nil, err
	}

	root := document.Parse(name, body)
	root = root.Object("instance", "addresses", "platform", "peers", "endpoints", "limits", "timeouts", "rolePolicy")
	s.readInstance(root.Need("instance"))
	s.readAddresses(root.Need("addresses"))
	s.platform.read(root.Need("platform"), s.role)
	s.limits.read(root.Field("limits"))
	s.timeouts.read(root.Field("timeouts"))
	s.readPeers(root.Field("peers"))
	s.readRolePolicy(root.Field("rolePolicy"))
	s.readEndpoints(root)
	if err := root.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) readInstance(node document.Node) {
	node = node.Object("id", "role", "region", "zone")
	s.id = node.Need("id").Text()
	s.role = carawayspread.InstanceRole(node.Need("role").OneOf(
		string(carawayspread.InstanceEntry),
		string(carawayspread.InstanceSidecar),
	))
	s.region = node.Need("region").Text()
	s.zone = node.Need("zone").Text()
}

func (s *Settings) readAddresses(node document.Node) {
	node = node.Object("listen", "control", "admin")
	s.listen = node.Need("listen").Address()
	s.control = node.Need("control").Address()
	if s.role == carawayspread.InstanceEntry {
		s.admin = node.Need("admin").Address()
	} else if admin := node.Field("admin"); admin.Exists() && s.role == carawayspread.InstanceSidecar {
		admin.Fail("a sidecar has no administration API")
	}

	seen := map[string]string{}
	for _, name := range []string{"listen", "control", "admin"} {
		checkUnique(node.Field(name), seen)
	}
}

// readRolePolicy reads the policy that plans the roles of engines. Without this setting no roles
// are planned, since the deployment has not stated that its engines serve whole requests in every
// role.
func (s *Settings) readRolePolicy(node document.Node) {
	s.rolePolicy = "static"
	if node.Exists() {
		s.rolePolicy = node.OneOf("static", "threshold", "forecast")
	}
}

func (s *Settings) readPeers(node document.Node) {
	seen := map[string]string{}
	items, _ := node.Items()
	for _, item := range items {
		s.peers = append(s.peers, item.Address())
		checkUnique(item, seen)
	}
}

// read reads the platform section; with an empty role, that of the defaults, which has no
// addresses.
func (p *Platform) read(node document.Node, role carawayspread.InstanceRole) {
	node = node.Object("table", "tableName", "objects", "bucket", "instanceList", "weights", "awsRegion")
	if role != "" {
		p.table = node.Need("table").Address()
		p.objects = node.Need("objects").Address()
		p.instanceList = node.Need("instanceList").Address()
	}
	if role == carawayspread.InstanceSidecar {
		p.weights = node.Need("weights").Address()
	}
	overlay(&p.tableName, node.Field("tableName"), document.Node.Text)
	overlay(&p.bucket, node.Field("bucket"), document.Node.Text)
	overlay(&p.awsRegion, node.Field("awsRegion"), document.Node.Text)
}

func (l *Limits) read(node document.Node) {
	node = node.Object("bodyBytes", "headerBytes", "memoryMegabytes", "descriptors")
	overlay(&l.bodyBytes, node.Field("bodyBytes"), func(n document.Node) int64 {
		return n.Int(minBodyBytes, maxBodyBytes)
	})
	overlay(&l.headerBytes, node.Field("headerBytes"), func(n document.Node) int {
		return int(n.Int(minHeaderBytes, maxHeaderBytes))
	})
	overlay(&l.memoryBytes, node.Field("memoryMegabytes"), func(n document.Node) int64 {
		return n.Int(minMemoryMegabytes, maxMemoryMegabytes) << 20
	})
	overlay(&l.descriptors, node.Field("descriptors"), func(n document.Node) int64 {
		return n.Int(minDescriptors, maxDescriptors)
	})
	if l.memoryBytes >= minMemoryMegabytes<<20 && l.bodyBytes > l.memoryBytes/memoryPerBodyByte {
		node.Fail("memoryMegabytes must be at least %d times bodyBytes, which is %d", memoryPerBodyByte, l.bodyBytes)
	}
}

func (t *Timeouts) read(node document.Node) {
	fields := map[string]*time.Duration{
		"readHeader":    &t.readHeader,
		"readBody":      &t.readBody,
		"idle":          &t.idle,
		"betweenBytes":  &t.betweenBytes,
		"table":         &t.table,
		"configPoll":    &t.configPoll,
		"configFresh":   &t.configFresh,
		"configRefresh": &t.configRefresh,
		"grace":         &t.grace,
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	node = node.Object(names...)
	for name, target := range fields {
		overlay(target, node.Field(name), func(n document.Node) time.Duration {
			switch name {
			case "betweenBytes":
				return n.Duration(minBetweenBytes, maxTimeout)
			case "grace":
				return n.Duration(minGrace, maxTimeout)
			}
			return n.Duration(minTimeout, maxTimeout)
		})
	}
}

func (s *Settings) readEndpoints(root document.Node) {
	node := root.Field("endpoints")
	if s.role == carawayspread.InstanceEntry && node.Exists() {
		node.Fail("an entry has no endpoints of its own")
		return
	}
	if s.role == carawayspread.InstanceSidecar {
		node = root.Need("endpoints")
	}
	items, ok := node.Items()
	if ok && len(items) == 0 {
		node.Fail("a sidecar needs at least one endpoint")
	}
	ids := map[string]string{}
	guards := map[string]string{}
	for _, item := range items {
		s.endpoints = append(s.endpoints, readEndpoint(item))
		checkUnique(item.Field("id"), ids)
		checkUnique(item.Field("orderGuard"), guards)
	}
}

func readEndpoint(node document.Node) Endpoint {
	node = node.Object("id", "service", "kind", "address", "checksFence", "orderGuard", "slots")
	e := Endpoint{
		id:      carawayspread.EndpointID(node.Need("id").Text()),
		service: node.Need("service").Text(),
		kind: carawayspread.Kind(node.Need("kind").OneOf(
			string(carawayspread.KindModel),
			string(carawayspread.KindPlain),
		)),
		address:     node.Need("address").Address(),
		checksFence: node.Field("checksFence").Bool(),
		slots:       int(node.Need("slots").Int(1, maxSlots)),
	}
	e.orderGuard = readOrderGuard(node, e)
	return e
}

// readOrderGuard requires a guard where nothing else stops the orders of a paused predecessor;
// without one, two sidecars would give orders to one engine. The guard is exclusive only within one
// instance, so that its address must be on loopback.
func readOrderGuard(node document.Node, e Endpoint) string {
	guard := node.Field("orderGuard")
	if !guard.Exists() {
		if e.kind == carawayspread.KindModel && !e.checksFence {
			node.Need("orderGuard")
		}
		return ""
	}
	address := guard.Address()
	if parsed, err := netip.ParseAddrPort(address); err == nil && !parsed.Addr().IsLoopback() {
		guard.Fail("must be a loopback address, is %q", address)
	}
	return address
}

// overlay replaces the default if the file states a value.
func overlay[T any](target *T, node document.Node, read func(document.Node) T) {
	if node.Exists() {
		*target = read(node)
	}
}

// checkUnique reports a string that an earlier node has. Port 0 is never a duplicate, since it
// stands for any free port.
func checkUnique(node document.Node, seen map[string]string) {
	text, ok := node.UncheckedText()
	if !ok {
		return
	}
	if parsed, err := netip.ParseAddrPort(text); err == nil && parsed.Port() == 0 {
		return
	}
	if first, taken := seen[text]; taken {
		node.Fail("is a duplicate of %s: %q", first, text)
		return
	}
	seen[text] = node.Path()
}
