package transport

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// peerWriteTimeout is how long a write to the other process may block; then it counts as gone.
const peerWriteTimeout = time.Second

// PeerProcess is the other process during a handover, predecessor or successor, at the end of a Unix socket. The end of the
// connection is the end of that process.
//
// It is an actor: Run owns the reading side, and a goroutine that Run starts writes what is in the mailbox. Notify, Ask,
// Gone and Close may be called from any goroutine; only Ask waits for the other process.
type PeerProcess struct {
	conn    *net.UnixConn
	decoder *json.Decoder // owned by ConnectToPredecessor, then by Run
	mailbox *routing.Mailbox[protocol.HandoverMessage]
	gone    chan struct{} // closed by Run when it returns

	mu               sync.Mutex
	lastQuestionID   uint64
	pendingQuestions map[uint64]chan bool // each has capacity for its answer
}

func newPeerProcess(conn *net.UnixConn) *PeerProcess {
	return &PeerProcess{
		conn:             conn,
		decoder:          json.NewDecoder(conn),
		mailbox:          routing.NewMailbox[protocol.HandoverMessage](),
		gone:             make(chan struct{}),
		pendingQuestions: map[uint64]chan bool{},
	}
}

// Run reads and writes messages until the other process is gone or Close is called; then Gone is closed. It must be called
// once. It calls handle with each message but answers, one at a time; handle must not call Ask, as its answer would not be read.
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

// deliverAnswer passes an answer to the Ask that waits for it. One that arrives after the Ask has ended is dropped.
func (p *PeerProcess) deliverAnswer(answer protocol.HandoverMessage) {
	p.mu.Lock()
	pending := p.pendingQuestions[answer.AnswerTo]
	delete(p.pendingQuestions, answer.AnswerTo)
	p.mu.Unlock()
	if pending != nil {
		pending <- answer.Yes
	}
}

// writeMessages writes what is in the mailbox until the other process is gone. It closes the connection if a write fails, which
// ends Run.
func (p *PeerProcess) writeMessages() {
	encoder := json.NewEncoder(p.conn)
	for {
		select {
		case <-p.gone:
			return
		case <-p.mailbox.Signal():
		}
		for _, message := range p.mailbox.Take() {
			_ = p.conn.SetWriteDeadline(time.Now().Add(peerWriteTimeout)) // fails only on a closed connection, as the write does
			if err := encoder.Encode(message); err != nil {
				p.Close()
				return
			}
		}
	}
}

// Notify sends a message. It does not block, and does not report whether the message arrives.
func (p *PeerProcess) Notify(message protocol.HandoverMessage) { p.mailbox.Post(message) }

// Ask sends a question and waits for its answer, at most until a point in time or until the other process is gone. heard reports
// whether there was an answer.
func (p *PeerProcess) Ask(question protocol.HandoverMessage, until time.Time) (yes, heard bool) {
	answer := make(chan bool, 1)
	p.mu.Lock()
	p.lastQuestionID++
	question.QuestionID = p.lastQuestionID
	p.pendingQuestions[question.QuestionID] = answer
	p.mu.Unlock()
	p.Notify(question)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case yes := <-answer:
		return yes, true
	case <-p.gone:
	case <-timer.C:
		p.mu.Lock()
		delete(p.pendingQuestions, question.QuestionID)
		p.mu.Unlock()
	}
	return false, false
}

// Gone returns a channel that is closed when the other process has ended.
func (p *PeerProcess) Gone() <-chan struct{} { return p.gone }

// Close ends the connection, and with it Run. An error says that it has ended already, so it is of no interest.
func (p *PeerProcess) Close() { _ = p.conn.Close() }
