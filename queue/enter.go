package queue

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// refusal returns the error of a job that did not run.
func refusal(ref admit.Reject) *core.Error {
	var err *core.Error
	switch ref.Code {
	case core.CodeDeadline:
		err = core.Errorf(ref.Code, "the deadline can't be met")
	case core.CodeOrgLimit:
		err = core.Errorf(ref.Code, "the organisation's limit is used up")
	default:
		err = core.Errorf(ref.Code, "the queue is full")
	}
	return core.WithRetryAfter(err, ref.RetryAfter)
}

func draining() *core.Error {
	return core.Errorf(core.CodeDraining, "the entry VM is stopping")
}

// Ticket is the right to run a job. Its holder calls Done once.
type Ticket struct {
	que   *Queue
	id    uint64
	plain bool
}

// Done tells that the job has ended and generated so many tokens, or none if
// it did not run after all. A call of a plain service counts as one token
// whatever its end. Done doesn't block for longer than the task takes to get to
// its messages.
func (tkt *Ticket) Done(tokens int) {
	que := tkt.que
	if tkt.plain {
		tokens = 1
	}
	que.send(func() { que.carry(que.mac.Done(tkt.id, tokens, que.clock())) })
}

// Enter blocks until the job may run. The error carries the code of the
// refusal, with the time to retry after (core.AfterOf), or CodeCallerGone if ctx
// was done first. The job then surely did not run.
func (que *Queue) Enter(ctx context.Context, job core.Job) (*Ticket, error) {
	ans := make(chan verdict, 1)
	got := make(chan uint64, 1)
	if !que.send(func() { got <- que.offer(job, ans) }) {
		return nil, draining()
	}
	select {
	case ver := <-ans:
		return que.ticket(<-got, job, ver)
	case <-ctx.Done():
		return nil, que.leave(ans, got)
	case <-que.stop:
	}
	select {
	case ver := <-ans:
		return que.ticket(<-got, job, ver)
	default:
		return nil, draining()
	}
}

func (que *Queue) ticket(id uint64, job core.Job, ver verdict) (*Ticket, error) {
	if ver.err != nil {
		return nil, ver.err
	}
	return &Ticket{que: que, id: id, plain: job.Service != ""}, nil
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

// Cost returns a job's expected size in generated tokens, 1 for a call of a
// plain service.
func Cost(job core.Job) float64 { return max(1, float64(tokens(job))) }

// tokens returns how many tokens a job may still generate: a resumed one has
// some already.
func tokens(job core.Job) int { return max(0, job.MaxTokens-max(0, job.StartPos)) }

// PromptWork is the work of one prompt token, where that of a generated token
// is 1.
const PromptWork = 1.0 / 32

// Work returns a job's expected size as the backend servers feel it.
func Work(job core.Job) float64 {
	prompt := float64(len(job.Prompt)+len(job.Body)) / bytesPerToken
	return 1 + prompt*PromptWork + float64(tokens(job))
}
