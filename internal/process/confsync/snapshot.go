package confsync

import (
	"encoding/json"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"carawayspread"
	"carawayspread/internal/connection/control"
	"carawayspread/internal/connection/transfer"
	"carawayspread/internal/version/change"
)

// packSnapshot encodes and compresses the full configuration for a peer.
func packSnapshot(cfg *carawayspread.Config) ([]byte, error) {
	var parts []change.Option
	for _, class := range cfg.Classes() {
		parts = append(parts, change.SetClass(class))
	}
	for _, service := range cfg.Services() {
		parts = append(parts, change.SetService(service))
	}
	rest, err := json.Marshal(change.New(parts...).Stored())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	snapshot := &control.Snapshot{Version: uint64(cfg.Version()), Config: rest}
	for _, workspace := range cfg.Workspaces() {
		snapshot.Workspaces = append(snapshot.Workspaces, workspace.Name())
	}
	body, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return transfer.Pack(body)
}

// unpackSnapshot decodes a full configuration that a peer has packed.
func unpackSnapshot(packed []byte) (*carawayspread.Config, error) {
	body, err := transfer.Unpack(packed, responseLimit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	snapshot, rest := &control.Snapshot{}, &change.Change{}
	if err := proto.Unmarshal(body, snapshot); err != nil {
		return nil, trace.Wrap(err)
	}
	version := carawayspread.Version(snapshot.GetVersion())
	if version == 0 {
		return nil, trace.BadParameter("configuration snapshot lacks its version")
	}
	if err := json.Unmarshal(snapshot.GetConfig(), rest); err != nil {
		return nil, trace.BadParameter("configuration snapshot: %v", err)
	}
	edit := carawayspread.Edit{SetWorkspaces: make([]carawayspread.Workspace, 0, len(snapshot.GetWorkspaces()))}
	for _, name := range snapshot.GetWorkspaces() {
		edit.SetWorkspaces = append(edit.SetWorkspaces, carawayspread.NewWorkspace(name))
	}
	return rest.Replay(carawayspread.NewConfig(version-1, nil, nil, nil)).Next(version, edit), nil
}
