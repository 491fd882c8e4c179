package queue

import (
	"context"
	"errors"
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// Refusal is the error of a job that did not run. It carries a result code
// for core.CodeOf.
type Refusal struct {
	code   core.Code
	detail string
	after  time.Duration
}

var _ error = (*Refusal)(nil)

// Error returns the code and the detail.
func (ref *Refusal) Error() string { return fmt.Sprintf("code %d: %s", ref.code, ref.detail) }

// Unwrap returns the core.Error with the result code.
func (ref *Refusal) Unwrap() error {
	return core.AfterError(core.Errorf(ref.code, "%s", ref.detail), ref.after)
}

// After returns the time after which a new try may succeed, zero if unknown.
func (ref *Refusal) After() time.Duration { return ref.after }

// After returns the time that a Refusal anywhere in the chain of err states,
// and zero without one.
func After(err error) time.Duration {
	var ref *Refusal
	if errors.As(err, &ref) {
		return ref.after
	}
	return 0
}

func refusal(ref admit.Refuse) *Refusal {
	var detail string
	switch ref.Code {
	case core.CodeDeadline:
		detail = "the deadline can't be met"
	case core.CodeOrgLimit:
		detail = "the organisation's limit is used up"
	default:
		detail = "the queue is full"
	}
	return &Refusal{code: ref.Code, detail: detail, after: ref.After}
}

// Ticket is the right to run a job. Its holder calls Done once.
type Ticket struct {
	que *Queue
	id  uint64
}

// Done tells that the job has ended and used so many tokens, or none if it
// did not run after all. Done doesn't block for longer than the task takes to
// get to its messages.
func (tkt *Ticket) Done(tokens int) {
	que := tkt.que
	que.send(func() { que.carry(que.mac.Done(tkt.id, tokens, que.clock())) })
}

// Enter blocks until the job may run. The error is a Refusal, or carries
// CodeCallerGone if ctx was done first; the job then surely did not run.
func (que *Queue) Enter(ctx context.Context, job core.Job) (*Ticket, error) {
	ans := make(chan verdict, 1)
	got := make(chan uint64, 1)
	if !que.send(func() { got <- que.offer(job, ans) }) {
		return nil, draining()
	}
	select {
	case ver := <-ans:
		return que.ticket(<-got, ver)
	case <-ctx.Done():
		return nil, que.leave(ans, got)
	case <-que.stop:
	}
	select {
	case ver := <-ans:
		return que.ticket(<-got, ver)
	default:
		return nil, draining()
	}
}

func draining() *Refusal {
	return &Refusal{code: core.CodeDraining, detail: "the entry VM is stopping"}
}

func (que *Queue) ticket(id uint64, ver verdict) (*Ticket, error) {
	if ver.err != nil {
		return nil, ver.err
	}
	return &Ticket{que: que, id: id}, nil
}

// offer runs in the task.
func (que *Queue) offer(job core.Job, ans chan<- verdict) uint64 {
	que.nextID++
	id := que.nextID
	que.waits[id] = ans
	que.counts.Entered++
	que.carry(que.mac.Offer(admit.Item{
		ID:       id,
		Org:      job.Org,
		Model:    Class(job),
		Priority: job.Priority,
		Cost:     que.cost(job),
		Work:     que.work(job),
		Deadline: job.Deadline,
	}, que.clock()))
	return id
}

// leave gives up a job whose caller is gone, whatever its state.
func (que *Queue) leave(ans <-chan verdict, got <-chan uint64) error {
	que.send(func() {
		id := <-got
		if _, ok := que.waits[id]; ok {
			delete(que.waits, id)
			que.counts.Cancelled++
		}
		que.carry(que.mac.Cancel(id, que.clock()))
	})
	select {
	case ver := <-ans:
		if ver.err != nil {
			return ver.err
		}
	default:
	}
	return core.Errorf(core.CodeCallerGone, "the caller left while its request waited")
}

// Class returns the name under which a job queues: its model, or "plain/" and
// its service.
func Class(job core.Job) core.ModelName {
	if job.Service != "" {
		return core.ModelName("plain/" + job.Service)
	}
	return job.Model
}

// Tokens are estimated by the length of the text.
const bytesPerToken = 4

// Cost returns a job's expected size in tokens: those of its prompt, or of
// its body, and those that it may generate.
func Cost(job core.Job) float64 {
	return 1 + float64(len(job.Prompt)+len(job.Body))/bytesPerToken + float64(job.MaxTokens)
}

// PromptWork is the work of one prompt token, where that of a generated token
// is 1.
const PromptWork = 1.0 / 32

// Work returns a job's expected size as the backend servers feel it.
func Work(job core.Job) float64 {
	prompt := float64(len(job.Prompt)+len(job.Body)) / bytesPerToken
	return 1 + prompt*PromptWork + float64(job.MaxTokens)
}
