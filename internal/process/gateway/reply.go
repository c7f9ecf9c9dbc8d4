package gateway

import (
	"errors"
	"slices"

	"carawayspread"
)

// errServerError says that the endpoint answered with a server error, and that the request is
// retried at another endpoint instead of relaying that answer.
var errServerError = errors.New("the endpoint answered with a server error")

// errIncomplete says that an attempt may have run and returned no complete answer.
var errIncomplete = errors.New("the endpoint returned no complete answer")

// errUnmarkedEnd says that the endpoint closed the connection at the end of an event, and that nothing
// proves that it was the last one.
var errUnmarkedEnd = errors.New("nothing marks the end of the endpoint's answer")

// brokenOffError says that the endpoint broke off its answer after the header.
type brokenOffError struct{ cause error }

func (e brokenOffError) Error() string   { return errors.Join(e.Unwrap()...).Error() }
func (e brokenOffError) Unwrap() []error { return []error{errIncomplete, e.cause} }

// classify returns what the reply proves about the attempt.
//
// An endpoint may repeat an answer where that to the next request is due. Behind other answers of its
// connection, only one that names this request is certain to be an answer to it.
func (c *call) classify(reply *carawayspread.Reply, phase carawayspread.Phase) carawayspread.ReplyKind {
	if reply.EarlierAnswers > 0 && (c.metadata.ID == "" || c.g.protocol.EchoedID(reply) != c.metadata.ID) {
		return carawayspread.ReplyInconclusive
	}
	kind := c.g.protocol.ClassifyReply(reply, c.metadata.ID, phase)
	sentBefore := slices.Contains(c.connections, reply.Connection)
	if reply.Connection != 0 {
		c.connections = append(c.connections, reply.Connection)
	}
	if sentBefore && (kind == carawayspread.ReplyNotRun || kind == carawayspread.ReplyWrongEndpoint) {
		return carawayspread.ReplyInconclusive // it may answer that earlier attempt, which has the same identifier
	}
	return kind
}

// discard closes the body of a reply that is not relayed, and ends its connection.
//
// An endpoint may repeat an answer where that to the next request is due. Those that are discarded are few,
// so the connections cost less than the requests that would get the repeated answers.
func discard(reply *carawayspread.Reply) {
	_ = reply.Body.Close()
	reply.Retire()
}

// overloaded returns the refusal of a request that no endpoint has room for.
func overloaded() *carawayspread.Error {
	return carawayspread.NewError(carawayspread.CodeOverloaded, "the endpoints have no room now",
		carawayspread.NotRun(), carawayspread.RetryAfter(retryDelay))
}
