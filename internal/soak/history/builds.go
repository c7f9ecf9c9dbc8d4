package history

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"carawayspread/internal/standin/caller"
	"carawayspread/internal/standin/worker"
)

// minServing is the number of workers of its version that must serve for a stream to be judged.
const minServing = 2

// minResumptions is the number of streams taken up from which on their share is judged.
const minResumptions = 12

// withoutVersions returns the body of a stream without the lines that name the versions of its workers.
func withoutVersions(body string) string {
	var b strings.Builder
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, worker.VersionField) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// versions returns the versions that the events of a stream name, each once.
func versions(body string) []string {
	var found []string
	for line := range strings.Lines(body) {
		version, ok := strings.CutPrefix(line, worker.VersionField)
		if version = strings.TrimSpace(version); ok && !slices.Contains(found, version) {
			found = append(found, version)
		}
	}
	return found
}

// ResumptionCounts returns how often streams were taken up after an event, and how often they went on.
func (h *History) ResumptionCounts() (taken, went int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.answers {
		if a.Resumes == "" || a.After >= h.events {
			continue
		}
		taken++
		if began(a) {
			went++
		}
	}
	return taken, went
}

// began reports whether an event of the stream reached its caller.
func began(a answer) bool { return a.Status == http.StatusOK && a.LastEvent() > 0 }

// checkBuilds: a stream holds events of one version only, over all tries of its caller.
func (h *History) checkBuilds() []string {
	bodies := map[string]string{}
	for _, a := range h.answers {
		if a.Kind == caller.Stream {
			first := a.ID
			if a.Resumes != "" {
				first = a.Resumes
			}
			bodies[first] += a.Body
		}
	}
	var found []string
	for id, body := range bodies {
		if all := versions(body); len(all) > 1 {
			found = append(found, finding("%s holds events of %s", id, strings.Join(all, " and "))...)
		}
	}
	return found
}

// misdirectedTime is how long a worker that claimed to be another one may get no requests.
const misdirectedTime = 5 * time.Second

// streamer is a worker that streams.
type streamer struct {
	version string
	since   time.Time // when it was listed
}

// serving returns how many workers of the version streamed without a fault around that time.
func (h *History) serving(version string, from, to time.Time) int {
	n := 0
	for id, own := range h.streamers {
		drainingSince, draining := h.drainingSince[id]
		misdirected := slices.ContainsFunc(h.requests, func(r request) bool {
			return r.worker == id && r.Misdirected && r.At.After(from.Add(-misdirectedTime)) && r.At.Before(to)
		})
		leaving := draining && drainingSince.Before(to) || slices.ContainsFunc(h.answers, func(a answer) bool {
			return a.ServerLeaving && strings.HasPrefix(a.Seal, id+".") && a.EndedAt.Before(to)
		})
		known := own.since.Before(from.Add(-contactTime))
		if own.version == version && known && !leaving && !misdirected && !h.overlaps(Target(id), from.Add(-contactTime), to) {
			n++
		}
	}
	return n
}

// checkResumptions: where processes run without a fault, and two workers of their version serve, streams
// that callers name and take up go on at least half as often as new ones begin.
func (h *History) checkResumptions() []string {
	versionOf := map[string]string{}
	for _, a := range h.answers {
		if all := versions(a.Body); a.Resumes == "" && len(all) > 0 {
			versionOf[a.ID] = all[0]
		}
	}
	var taken, went, sent, fresh int
	for _, a := range h.answers {
		if a.Kind != caller.Stream || h.overlaps(Target(a.process), a.SentAt.Add(-contactTime), a.EndedAt) || h.overlaps(Store, a.SentAt.Add(-contactTime), a.EndedAt) {
			continue
		}
		switch {
		case a.Resumes == "":
			sent++
			if began(a) {
				fresh++
			}
		case !a.Unnamed && a.After < h.events && h.serving(versionOf[a.Resumes], a.SentAt, a.EndedAt) >= minServing:
			taken++
			if began(a) {
				went++
			}
		}
	}
	if taken < minResumptions || 2*went*sent >= taken*fresh {
		return nil
	}
	return finding("%d of %d streams that were taken up went on, and %d of %d began", went, taken, fresh, sent)
}
