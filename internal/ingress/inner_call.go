package ingress

import (
	"context"

	"samphireflow/internal/admission"
	"samphireflow/internal/calls"
	"samphireflow/internal/exchange"
)

// runCall dispatches a call. A call of a run at the backend server beside this node inherits the run's priority; what
// becomes of it tells Admission how much room its service has.
func (i *Ingress) runCall(ctx context.Context, d *dispatch) (*exchange.Response, *refusal) {
	var parent *admission.Run
	if d.table.CallerLimits.InnerCalls {
		parent = i.options.Admission.Parent(d.call.ID)
	}
	if parent == nil {
		return d.run(ctx)
	}
	d.call.Inner, d.call.Priority = true, parent.Priority()
	i.options.Admission.BeginInner(parent, d.service)
	response, refused := d.run(ctx)
	i.options.Admission.EndInner(parent, d.service, d.innerAnswer(refused), i.options.Now())
	return response, refused
}

// innerAnswer returns what the end of an inner call says about its service.
func (d *dispatch) innerAnswer(refused *refusal) admission.Answer {
	if d.last == nil {
		return admission.Answer{}
	}
	answer := admission.Answer{Pressure: d.last.Pressure, Served: d.last.Outcome == calls.Answered}
	if refused != nil && d.last.Outcome == calls.NotRun {
		switch d.last.Reason {
		case calls.ReasonFull, calls.ReasonDeadline:
			answer.NoRoom = true
		}
	}
	return answer
}
