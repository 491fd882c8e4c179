package queue

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// rejectionError returns the error of a job that did not run.
func rejectionError(rej admit.Reject) *core.Error {
	var err *core.Error
	switch rej.Code {
	case core.CodeDeadline:
		err = core.Errorf(rej.Code, "the deadline can't be met")
	case core.CodeOrgLimit:
		err = core.Errorf(rej.Code, "the organisation's limit is used up")
	default:
		err = core.Errorf(rej.Code, "the queue is full")
	}
	return core.WithRetryAfter(err, rej.RetryAfter)
}

func drainingError() *core.Error {
	return core.Errorf(core.CodeDraining, "the entry VM is stopping")
}

// Ticket is the right to run a job. Its holder calls Done once.
type Ticket struct {
	que          *Queue
	id           uint64
	plainService bool
}

// Done tells that the job has ended and generated so many tokens, or none if
// it did not run after all. A call of a plain service counts as one token
// whatever its end. Done doesn't block for longer than the task takes to get to
// its messages.
func (tkt *Ticket) Done(tokens int) {
	que := tkt.que
	if tkt.plainService {
		tokens = 1
	}
	que.send(func() { que.apply(que.controller.Done(tkt.id, tokens, que.clock())) })
}

// Enter blocks until the job may run. The error carries the code of the
// refusal, with the time to retry after (core.AfterOf), or CodeCallerGone if ctx
// was done first. The job then surely did not run.
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

// offer runs in the task.
func (que *Queue) offer(job core.Job, resultCh chan<- result) uint64 {
	que.nextID++
	id := que.nextID
	que.resultsByJob[id] = resultCh
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

// cancel gives up a job whose caller is gone, whatever its state.
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
func Cost(job core.Job) float64 { return max(1, float64(remainingTokens(job))) }

// remainingTokens returns how many tokens a job may still generate: a resumed one has
// some already.
func remainingTokens(job core.Job) int { return max(0, job.MaxTokens-max(0, job.StartPos)) }

// WorkPerPromptToken is the work of one prompt token, where that of a generated token
// is 1.
const WorkPerPromptToken = 1.0 / 32

// Work returns a job's expected size as the backend servers feel it.
func Work(job core.Job) float64 {
	prompt := float64(len(job.Prompt)+len(job.Body)) / bytesPerToken
	return 1 + prompt*WorkPerPromptToken + float64(remainingTokens(job))
}
