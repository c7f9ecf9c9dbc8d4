// Package hashrouter decides to which endpoint a job goes.
//
// It is designed for tens of entries in front of up to 1,300 endpoints, where each entry has load
// reports that are seconds old, prompts share prefixes, some of them hot, and now and then a
// request crashes each endpoint that runs it. With least outstanding, entries that share one old
// report would all send their work to the endpoint that was idle last (herding), prefixes would be
// cached everywhere and therefore evicted everywhere, and a harmful request would reach a new
// endpoint with every attempt and through every entry.
//
// Every entry derives the same two candidates for a fingerprint from a hash ring: the first from
// the prefix, the second from prefix and body. Load decides between them. It is taken from the last
// report, corrected by the attempts that this entry has started and ended since, and the
// probability of the second candidate grows with the difference in load instead of switching at a
// threshold. A job leaves its candidates only when both are unavailable, and its choice is then
// marked as outside affinity. A lost endpoint keeps its place on the ring for ten minutes;
// otherwise its work would silently get new candidates, and a harmful request could crash further
// endpoints.
//
// Where engines have roles, the candidates of each phase come from the engines that take it: long
// prompts go first to engines that only prefill, then to those with both roles; answers that are
// handed over go to engines that decode.
//
// Without new reports: a report loses its weight over 15 s, after which only the entry's own
// attempts count; a draining mark stays until a newer report; a reported crash is believed for
// 30 s. The two candidates stay the same for any length of time.
package hashrouter
