// Package suspectparts finds the part of a prompt that crashes endpoints, from what broke off in each
// crash and from what was answered.
//
// A part of a prompt may crash each endpoint that begins to answer on it. Requests with that part come
// at any process, no two alike, so that a memory of requests never sees one crash twice. A crash breaks
// off all that ran at the endpoint: the harmful part is one among the parts of dozens of prompts.
//
// Three rules tell it apart. An answer in full clears the parts of its prompt, as a harmful part is never
// answered. A part is refused for crashes of several endpoints under prompts of several sessions, so that
// neither a session nor a body incriminates what others share. And one crash has one cause: what another
// part explains, which is involved at least as often, does not count against a part, unless the request
// has both.
//
// Without it, each request with the part costs an endpoint and all that runs there. A refusal lasts two
// minutes; then one request in the whole fleet is a trial.
package suspectparts
