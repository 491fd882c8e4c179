package queue

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// rejectionError returns the error for a rejected job, with its retry delay.
func rejectionError(rej admit.Reject) *core.Error {
	var err *core.Error
	switch rej.Code {
	case core.CodeDeadline:
		err = core.Errorf(rej.Code, "the deadline can't be met")
	case core.CodeOrgLimit:
		err = core.Errorf(rej.Code, "the organisation has reached its limit")
	default:
		err = core.Errorf(rej.Code, "the queue is full")
	}
	return core.WithRetryAfter(err, rej.RetryAfter)
}

func drainingError() *core.Error {
	return core.Errorf(core.CodeDraining, "the entry VM is draining")
}

// Ticket allows one job to run. Its holder must call Done exactly once.
type Ticket struct {
	que          *Queue
	id           uint64
	plainService bool
}

// Done reports that the job has ended and how many tokens it generated, which
// is zero if it did not run. A call to a plain service always counts as one
// token. Done blocks only while the queue's message buffer is full.
func (tkt *Ticket) Done(tokens int) {
	que := tkt.que
	if tkt.plainService {
		tokens = 1
	}
	que.send(func() { que.apply(que.controller.Done(tkt.id, tokens, que.clock())) })
}

// Enter blocks until the job is admitted. Otherwise the job did not run, and
// the error carries the code of the rejection with its retry delay
// (core.RetryAfterOf), or core.CodeCallerGone if ctx was done first.
func (que *Queue) Enter(ctx context.Context, job core.Job) (*Ticket, error) {
	resultCh := make(chan result, 1)
	idCh := make(chan uint64, 1)
	if !que.send(func() { idCh <- que.offer(job, resultCh) }) {
		return nil, drainingError()
	}
	select {
	case res := <-resultCh:
		return que.ticket(<-idCh, job, res)
	case <-ctx.Done():
		return nil, que.cancel(resultCh, idCh)
	case <-que.stopped:
	}
	select {
	case res := <-resultCh:
		return que.ticket(<-idCh, job, res)
	default:
		return nil, drainingError()
	}
}

func (que *Queue) ticket(id uint64, job core.Job, res result) (*Ticket, error) {
	if res.err != nil {
		return nil, res.err
	}
	return &Ticket{que: que, id: id, plainService: job.Service != ""}, nil
}

// offer queues the job and returns its ID. It runs in the goroutine of Run.
func (que *Queue) offer(job core.Job, resultCh chan<- result) uint64 {
	que.nextID++
	id := que.nextID
	que.resultsByJob[id] = waiter{results: resultCh, urgency: admit.UrgencyOf(job.Priority, que.priorities)}
	que.counts.Entered++
	que.apply(que.controller.Offer(admit.Item{
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

// cancel removes a job whose context is done, whether it is queued or already
// admitted.
func (que *Queue) cancel(resultCh <-chan result, idCh <-chan uint64) error {
	que.send(func() {
		id := <-idCh
		if _, ok := que.resultsByJob[id]; ok {
			delete(que.resultsByJob, id)
			que.counts.Cancelled++
		}
		que.apply(que.controller.Cancel(id, que.clock()))
	})
	select {
	case res := <-resultCh:
		if res.err != nil {
			return res.err
		}
	default:
	}
	return core.Errorf(core.CodeCallerGone, "the caller cancelled while its request was queued")
}

// Class returns the name of the queue of a job: its model, or "plain/" followed
// by its service.
func Class(job core.Job) core.ModelName {
	if job.Service != "" {
		return core.ModelName("plain/" + job.Service)
	}
	return job.Model
}

// bytesPerToken is the assumed length of a token, from which the number of
// prompt tokens is estimated.
const bytesPerToken = 4

// Cost returns a job's expected number of generated tokens, or 1 for a call to
// a plain service.
func Cost(job core.Job) float64 { return max(1, float64(remainingTokens(job))) }

// remainingTokens returns how many tokens a job may still generate, which
// excludes those before the start position of a resumed job.
func remainingTokens(job core.Job) int { return max(0, job.MaxTokens-max(0, job.StartPos)) }

// WorkPerPromptToken is the work of one prompt token relative to that of a
// generated token.
const WorkPerPromptToken = 1.0 / 32

// Work returns a job's expected load on the backend servers, in generated
// tokens.
func Work(job core.Job) float64 {
	prompt := float64(len(job.Prompt)+len(job.Body)) / bytesPerToken
	return 1 + prompt*WorkPerPromptToken + float64(remainingTokens(job))
}
