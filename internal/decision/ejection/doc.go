// Package ejection implements outlier detection: it decides which endpoints get no requests
// because they fail, are slow or flap.
//
// An endpoint that fails fast looks idle and attracts requests; one may serve everything,
// but twenty times slower than its peers; another may recover and fail again every minute.
// Without ejection, routing by load sends the failing endpoint more than its share, and one
// slow endpoint of twenty delays one response in twenty.
//
// An endpoint is ejected after five consecutive failures, when more than four in ten of its
// recent attempts failed, at once when it crashed or cannot be reached, or when its
// smoothed latency exceeds three times the median of its peers. The ejection time starts
// at five seconds, doubles with each ejection up to five minutes, and is halved for every
// five minutes without an ejection. When it is over, the endpoint gets single probe
// requests; three that succeed end the ejection, one that fails or is slow ejects the
// endpoint again.
//
// At most a fifth of the endpoints, but at least one if there are two, is ejected at a
// time: when this process loses its network, every endpoint seems to fail, and without
// the bound no endpoint would be left.
//
// Without new outcomes, ejection times end by the clock, a latency that was not measured
// for a minute is discarded, and nothing is ejected.
package ejection
