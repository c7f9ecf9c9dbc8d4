package base

import (
	"io/fs"
	"path"
	"strconv"
	"strings"
)

// cgroupMemory returns the memory, in bytes, that the control groups of this process grant it, of both versions of
// Linux's interface; zero if they state none. root is the root of the file system.
func cgroupMemory(root fs.FS) int64 {
	groups, err := fs.ReadFile(root, "proc/self/cgroup")
	if err != nil {
		return 0
	}
	least := int64(0)
	for line := range strings.Lines(string(groups)) {
		_, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		controllers, group, _ := strings.Cut(rest, ":")
		mount, file := "sys/fs/cgroup", "memory.max"
		switch controllers {
		case "":
		case "memory":
			mount, file = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
		default:
			continue
		}
		// A group has no more than the groups that it is in.
		for ; ; group = path.Dir(group) {
			limit := readLimit(root, path.Join(mount, group, file))
			if limit > 0 && (least == 0 || limit < least) {
				least = limit
			}
			if group == "/" || group == "." {
				break
			}
		}
	}
	return least
}

// readLimit returns the limit in a file of a control group; zero if there is none.
func readLimit(root fs.FS, name string) int64 {
	text, err := fs.ReadFile(root, name)
	if err != nil {
		return 0
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0 // "max"
	}
	return limit
}
