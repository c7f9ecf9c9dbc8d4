// Package tableclient builds the client of the table service, with its decorators.
//
// From the caller inwards, each with the reason for its place:
//
//   - metered, layer "caller": measures what callers wait for and receive;
//   - groupcommit: its groups are read back as a whole by the next decorator;
//   - readback: sees every unknown outcome; the copies that it sends pass through
//     all decorators below;
//   - retry: retries only what provably had no effect, and is therefore inside the
//     read-back;
//   - breaker: counts every attempt as a success or failure and lets one probe at a
//     time through, and is therefore inside the retries;
//   - timeout: bounds each single attempt;
//   - metered, layer "platform": counts the requests that reach the platform;
//   - the client, which sends each request once.
package tableclient
