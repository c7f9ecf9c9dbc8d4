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

// packWhole returns a whole configuration for a peer.
func packWhole(cfg *carawayspread.Config) ([]byte, error) {
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
	whole := &control.Snapshot{Version: uint64(cfg.Version()), Config: rest}
	for _, workspace := range cfg.Workspaces() {
		whole.Workspaces = append(whole.Workspaces, workspace.Name())
	}
	body, err := proto.Marshal(whole)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return transfer.Pack(body)
}

// unpackWhole reads a whole configuration of a peer.
func unpackWhole(packed []byte) (*carawayspread.Config, error) {
	body, err := transfer.Unpack(packed, answerLimit)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	whole, rest := &control.Snapshot{}, &change.Change{}
	if err := proto.Unmarshal(body, whole); err != nil {
		return nil, trace.Wrap(err)
	}
	version := carawayspread.Version(whole.GetVersion())
	if version == 0 {
		return nil, trace.BadParameter("configuration snapshot lacks its version")
	}
	if err := json.Unmarshal(whole.GetConfig(), rest); err != nil {
		return nil, trace.BadParameter("configuration snapshot: %v", err)
	}
	edit := carawayspread.Edit{SetWorkspaces: make([]carawayspread.Workspace, 0, len(whole.GetWorkspaces()))}
	for _, name := range whole.GetWorkspaces() {
		edit.SetWorkspaces = append(edit.SetWorkspaces, carawayspread.NewWorkspace(name))
	}
	return rest.Replay(carawayspread.NewConfig(version-1, nil, nil, nil)).Next(version, edit), nil
}
