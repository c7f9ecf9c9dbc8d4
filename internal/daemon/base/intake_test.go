package base

import (
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"

	"carawayspread/internal/version/settings"
)

// A process whose settings state no memory must not be taken for one without limits, nor limited below its machine.
func TestMemoryOfTheMachineIsTheDefault(t *testing.T) {
	memory, descriptors := granted(settings.Limits{})
	qt.Check(t, memory > 64<<20, qt.IsTrue, qt.Commentf("%d bytes", memory))
	qt.Check(t, descriptors >= 64, qt.IsTrue, qt.Commentf("%d", descriptors))
}

// Guards against a process that takes the memory of the whole machine for its own, and is ended by the limit of its
// control group before its bounds are reached.
func TestMemoryOfTheControlGroup(t *testing.T) {
	for name, c := range map[string]struct {
		files map[string]string
		want  int64
	}{
		"no control groups": {nil, 0},
		"version 2, the root of a container": {map[string]string{
			"proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "150994944\n",
		}, 144 << 20},
		"version 2, unlimited": {map[string]string{
			"proc/self/cgroup": "0::/service\n", "sys/fs/cgroup/service/memory.max": "max\n",
		}, 0},
		"version 2, a parent has less": {map[string]string{
			"proc/self/cgroup": "0::/slice/service\n", "sys/fs/cgroup/slice/service/memory.max": "301989888\n",
			"sys/fs/cgroup/slice/memory.max": "150994944\n", "sys/fs/cgroup/memory.max": "max\n",
		}, 144 << 20},
		"version 1": {map[string]string{
			"proc/self/cgroup": "9:name=systemd:/\n4:memory:/service\n3:cpuset:/\n0::/\n",
			"sys/fs/cgroup/memory/service/memory.limit_in_bytes": "150994944\n",
			"sys/fs/cgroup/memory/memory.limit_in_bytes":         "9223372036854771712\n",
		}, 144 << 20},
		"unreadable": {map[string]string{"proc/self/cgroup": "0", "sys/fs/cgroup/memory.max": "?"}, 0},
	} {
		root := fstest.MapFS{}
		for file, text := range c.files {
			root[file] = &fstest.MapFile{Data: []byte(text)}
		}
		qt.Check(t, cgroupMemory(root), qt.Equals, c.want, qt.Commentf("%s", name))
	}
}
