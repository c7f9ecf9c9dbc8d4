package gatewaysettings

import "carawayspread/internal/version/document"

func (s *Settings) readRunBackups(root document.Node) {
	if !root.Field("runBackups").Exists() {
		return
	}
	backups := root.Field("runBackups").Object("linkShare")
	s.backupLinkShare = backups.Need("linkShare").Number()
	if !(s.backupLinkShare > 0 && s.backupLinkShare <= 1) {
		backups.Fail("linkShare must be above 0 and at most 1")
	}
}

// BackupLinkShare returns the share of the links between engines that copies of running requests may take; zero
// if none are kept.
func (s *Settings) BackupLinkShare() float64 { return s.backupLinkShare }
