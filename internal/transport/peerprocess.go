package transport

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// handoverWriteTimeout is how long writing the Handover may block. After that the successor counts as gone: it can't start.
const handoverWriteTimeout = time.Second

// maxOutstandingQuestions bounds the memory of questions to a process that does not answer.
const maxOutstandingQuestions = 4096

// delayedAnswerThreshold is how long an answer may wait to be written to the other process before that is logged.
const delayedAnswerThreshold = 100 * time.Millisecond

// Errors of PeerProcess.Ask. They differ in what may be concluded: a process that has ended runs nothing any more, a silent one may.
var (
	errPeerGone   = errors.New("the peer process has ended")
	errPeerSilent = errors.New("the peer process does not answer")
)

// PeerProcess is the other process during a handover, predecessor or successor, connected by a Unix socket. Only the end of the
// connection, which the kernel reports at once, says that the process is gone. A process that does not answer is still there.
//
// It is an actor: Run owns the reading side, and a goroutine that Run starts writes the queued messages. Questions, answers and other
// short messages are written before the ended jobs that are queued by NotifyBulk. Notify, NotifyBulk, Ask, AwaitDelivery, Gone and
// Close may be called from any goroutine; only Ask and AwaitDelivery wait for the other process.
type PeerProcess struct {
	conn    *net.UnixConn
	decoder *json.Decoder // owned by ConnectToPredecessor, then by Run
	control *routing.Mailbox[queuedMessage]
	bulk    *routing.Mailbox[queuedMessage]
	gone    chan struct{} // closed by Run or AwaitEnd when it returns
	silent  bool          // it has not handed over in time: only its end counts; set before other goroutines use the process
	log     *slog.Logger

	mu                   sync.Mutex
	lastQuestionID       uint64
	outstandingQuestions map[uint64]*outstandingQuestion // by question id
}

// queuedMessage is a message that waits to be written.
type queuedMessage struct {
	protocol.HandoverMessage
	queuedAt time.Time
}

// outstandingQuestion is a question without an answer. It remains outstanding after its Ask has ended.
type outstandingQuestion struct {
	reservedID string    // the request ID that it reserves, if any
	answer     chan bool // has capacity for the answer
	abandoned  bool      // its Ask has ended; guarded by PeerProcess.mu
}

func newPeerProcess(conn *net.UnixConn, log *slog.Logger) *PeerProcess {
	return &PeerProcess{
		conn:                 conn,
		decoder:              json.NewDecoder(conn),
		control:              routing.NewMailbox[queuedMessage](),
		bulk:                 routing.NewMailbox[queuedMessage](),
		gone:                 make(chan struct{}),
		log:                  log,
		outstandingQuestions: map[uint64]*outstandingQuestion{},
	}
}

// Run reads and writes messages until the other process is gone or Close is called; then Gone is closed. It must be called once.
// It calls handle with each message except answers, one at a time. handle must not call Ask: Run would not read the answer
// meanwhile.
func (p *PeerProcess) Run(handle func(protocol.HandoverMessage)) {
	go p.writeMessages()
	for {
		var message protocol.HandoverMessage
		if err := p.decoder.Decode(&message); err != nil {
			break
		}
		if message.AnswerTo == 0 {
			handle(message)
			continue
		}
		p.deliverAnswer(message)
	}
	p.Close()
	close(p.gone)
}

// AwaitEnd is called in place of Run if the other process has not handed over in time. It blocks until that process has ended, and discards what
// it sends: it may go on serving, but shares nothing. Meanwhile each Ask fails with errPeerSilent.
func (p *PeerProcess) AwaitEnd() {
	_ = p.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, on which the reads fail too
	_, _ = io.Copy(io.Discard, p.conn)      // ends when the other process has
	p.Close()
	close(p.gone)
}

// deliverAnswer passes an answer to the Ask that waits for it. If that Ask has ended, a request ID that the question has reserved
// is released.
func (p *PeerProcess) deliverAnswer(answer protocol.HandoverMessage) {
	p.mu.Lock()
	question := p.outstandingQuestions[answer.AnswerTo]
	delete(p.outstandingQuestions, answer.AnswerTo)
	abandoned := question != nil && question.abandoned
	p.mu.Unlock()
	switch {
	case question == nil:
	case !abandoned:
		question.answer <- answer.Yes
	case answer.Yes && question.reservedID != "":
		p.Notify(protocol.HandoverMessage{ReleaseID: question.reservedID})
	}
}

// writeMessages writes the queued messages until the other process is gone. Before each bulk message it writes all control messages.
// If a write fails, it closes the connection, which ends Run.
func (p *PeerProcess) writeMessages() {
	encoder := json.NewEncoder(p.conn)
	var bulk []queuedMessage
	for {
		if len(bulk) == 0 {
			select {
			case <-p.gone:
				return
			case <-p.control.Signal():
			case <-p.bulk.Signal():
			}
			bulk = p.bulk.Take()
		}
		batch := p.control.Take()
		if len(batch) == 0 && len(bulk) > 0 {
			batch, bulk = bulk[:1], bulk[1:]
		}
		for i := range batch {
			if err := p.write(encoder, &batch[i]); err != nil {
				p.Close()
				return
			}
		}
	}
}

// write writes a message. It blocks until the other process reads, except for a Handover.
func (p *PeerProcess) write(encoder *json.Encoder, message *queuedMessage) error {
	deadline := time.Time{}
	if message.Handover != nil {
		deadline = time.Now().Add(handoverWriteTimeout)
	}
	_ = p.conn.SetWriteDeadline(deadline) // fails only on a closed connection, on which the write fails too
	if err := encoder.Encode(message.HandoverMessage); err != nil {
		return err
	}
	p.logDelay(message)
	return nil
}

// logDelay logs an answer that has waited for long.
func (p *PeerProcess) logDelay(message *queuedMessage) {
	if waited := time.Since(message.queuedAt); message.AnswerTo > 0 && waited > delayedAnswerThreshold {
		p.log.Warn("answer to peer process delayed", "waited_ms", waited.Milliseconds())
	}
}

// Notify sends a message. It does not block, and does not report whether the message arrives.
func (p *PeerProcess) Notify(message protocol.HandoverMessage) {
	if p.silent { // nobody writes it
		return
	}
	p.control.Post(queuedMessage{message, time.Now()})
}

// NotifyBulk sends a large message, behind all messages of Notify and Ask. It does not block.
func (p *PeerProcess) NotifyBulk(message protocol.HandoverMessage) {
	p.bulk.Post(queuedMessage{message, time.Now()})
}

// Ask sends a question and waits for its answer, until the given time at most. The error is errPeerGone if the other process has
// ended, and errPeerSilent if it has not answered: then the answer is unknown, and a request ID that the question reserves is
// released when the answer arrives.
func (p *PeerProcess) Ask(question protocol.HandoverMessage, until time.Time) (yes bool, err error) {
	return p.ask(question, until, p.control)
}

// AwaitDelivery waits until the other process has received all messages that were sent before, until the given time at most.
func (p *PeerProcess) AwaitDelivery(until time.Time) error {
	_, err := p.ask(protocol.HandoverMessage{Last: true}, until, p.bulk)
	return err
}

func (p *PeerProcess) ask(question protocol.HandoverMessage, until time.Time, queue *routing.Mailbox[queuedMessage]) (yes bool, err error) {
	outstanding, err := p.addQuestion(&question)
	if err != nil {
		return false, err
	}
	queue.Post(queuedMessage{question, time.Now()})
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case yes = <-outstanding.answer:
		return yes, nil
	case <-p.gone:
		return false, errPeerGone
	case <-timer.C:
	}
	return p.abandonQuestion(question, outstanding)
}

// addQuestion numbers a question and records it as outstanding. It fails if too many are, or if the other process shares nothing.
func (p *PeerProcess) addQuestion(question *protocol.HandoverMessage) (*outstandingQuestion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent || len(p.outstandingQuestions) >= maxOutstandingQuestions {
		return nil, errPeerSilent
	}
	p.lastQuestionID++
	question.QuestionID = p.lastQuestionID
	outstanding := &outstandingQuestion{reservedID: question.ReserveID, answer: make(chan bool, 1)}
	p.outstandingQuestions[question.QuestionID] = outstanding
	return outstanding, nil
}

// abandonQuestion ends the wait for an answer, which it returns if it has arrived meanwhile.
func (p *PeerProcess) abandonQuestion(question protocol.HandoverMessage, outstanding *outstandingQuestion) (yes bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outstandingQuestions[question.QuestionID] == nil { // deliverAnswer is about to send the answer
		return <-outstanding.answer, nil
	}
	outstanding.abandoned = true
	p.log.Warn("peer process did not answer", "key", question.Key, "id", question.ReserveID)
	return false, errPeerSilent
}

// Gone returns a channel that is closed when the other process has ended.
func (p *PeerProcess) Gone() <-chan struct{} { return p.gone }

// Close closes the connection, which ends Run. The error is ignored: it says that the connection is closed already.
func (p *PeerProcess) Close() { _ = p.conn.Close() }
