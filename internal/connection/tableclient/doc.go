// Package tableclient puts the decorators round the client of the table service.
//
// From the caller inwards, each with the reason for its place:
//
//   - metered, layer "caller": what callers wait for and receive;
//   - groupcommit: its groups are read back as wholes by the next one;
//   - readback: sees every unknown outcome, and its copies go through all below;
//   - retry: repeats only what provably had no effect, so below the read-back;
//   - breaker: judges every try and lets through one trial at a time, so below
//     the repeats;
//   - timeout: bounds each single try;
//   - metered, layer "platform": requests as the platform counts them;
//   - the client, which sends each request once.
package tableclient
