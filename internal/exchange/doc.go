// Package exchange matches the answers of an endpoint with the requests that were sent over one
// connection, and says when the connection is still in step.
//
// Answers carry no number of their request, and an endpoint may send an answer a second time, at
// once or any time later. A connection is in step if each answer that it delivers is the one to the
// request that waits for it. An answer is taken for that of a request only if it cannot be a copy of
// an earlier one:
//
//   - A success of a statement has a digest that the connection has not delivered before.
//   - A refusal has a code that the connection has not delivered before. Otherwise a marker shows
//     whether the request was refused. A refused read needs no such proof at once, because it may run
//     again elsewhere: a marker goes ahead of the next request.
//   - The start of a transaction and a request about the endpoint itself are followed by a marker.
//   - Other successes, those of requests that set up or clear the connection, are provisional: the
//     endpoint runs requests in order, so that a wrong match shows at the next statement.
//
// A marker is one or two requests without an effect, sent in the same batch where possible, whose
// answers look different from that of the request before. If another answer comes in their place, it
// is the one to the request, and the answer that was held for it was a copy.
//
// Answers that are not taken are discarded, so that callers get their own answer. The connection
// serves its present user to the end and is not pooled after that, nor is one that has delivered as
// many digests as are remembered. If no answer can be told to be that of the request, Do fails with
// engine.ErrOutOfStep: nothing is known of the request then.
//
// Two or three answers in a row whose copies all come late, in order and in place of a whole marker
// are not told apart.
//
// # Usage
//
//	s := &exchange.Stream{Send: send, Receive: receive, Waiting: waiting, SetDeadline: nc.SetDeadline}
//	conn := &engine.Conn{Do: s.Do, InStep: s.InStep}
package exchange
