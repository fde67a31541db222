// Package routing is the core of the dispatcher: it takes requests from the frontends, passes them to the scheduler, and carries
// out its decisions at the endpoints. It knows no wire format: it passes the contents of requests on unread, and uses clients,
// endpoints and discovery through interfaces.
//
// # A request
//
//  1. A frontend calls Core.Submit. The request gets an ID and is posted to the mailbox of the Core.
//  2. The goroutine of Core.Run adds it to the table of open requests, sets the timer after which it is overdue (failOverdue),
//     asks the ZoneRouter for the zones that it may go to and passes it to the scheduler as scheduler.RequestArrived.
//  3. The scheduler returns actions, which are carried out in order. A scheduler.Send becomes an Attempt for the EndpointPool. If
//     the attempt may no longer be sent, or is a retry that is not allowed, it ends as scheduler.NeverSent.
//  4. The endpoint calls Core.AttemptStarted and Core.AttemptProgressed, and once Core.AttemptFinished. Each is posted to the
//     mailbox. The scheduler is passed each outcome and may retry.
//  5. The first served attempt answers the request. If there is none, a scheduler.Reject or scheduler.Fail does. If the scheduler
//     gives no answer in time, the Core fails the request. Client.Answered is called once.
//  6. The request is removed from the table when it is answered and none of its attempts is in flight.
//
// # The endpoint list
//
// EndpointList owns the list of endpoints. It polls Discovery (listCalls), decides with package endpointstate which parts of each
// response to accept, and passes changes to the EndpointPool first and then to the Core, so that the scheduler never sends to
// an endpoint that the pool does not know. A process that starts while discovery is down begins with a cached list
// (CachedStart), until a list of discovery replaces it.
//
// # Shutdown
//
// Core.StartShutdown passes the scheduler the time by which all requests must be answered. Until then requests are still accepted
// and answered. Core.Run and EndpointList.Run end when their contexts are cancelled, which the program does after the last
// answer. Calls to discovery in flight are cancelled when the context of EndpointList.Run is cancelled.
package routing
