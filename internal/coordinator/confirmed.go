package coordinator

import (
	"context"
	"time"
)

// confirmedView is the state that a coordinator serves to watchers after its start until it leads or
// follows a leader: a majority of the root group has confirmed that it holds everything that was
// committed at confirmedAt. Only watches may be answered from it.
type confirmedView struct {
	*rootView
	confirmedAt time.Time
}

func (v confirmedView) age(now time.Time) time.Duration { return now.Sub(v.confirmedAt) }

// watchableState returns the state that this member may serve to watchers: the current state or, until
// it leads or follows a leader, a confirmed one.
func (c *Coordinator) watchableState() (watchedState, error) {
	_, view, err := c.currentState()
	if err == nil {
		return view, nil
	}
	group, machine, groupErr := c.rootGroup()
	// Strict revocation of keys bounds the age of the configuration at all routers. The bound is derived
	// for states of a leader, so confirmed states are not served with it.
	if groupErr != nil || c.settings.GetKeyLifeMs() != 0 {
		return nil, err
	}
	status := group.Status()
	if status.ConfirmedAgeMs == nil {
		return nil, err
	}
	age := time.Duration(status.GetConfirmedAgeMs()) * time.Millisecond
	return confirmedView{rootView: machine.view(), confirmedAt: time.Now().Add(-age)}, nil
}

// awaitWatchableState is watchableState, but waits after a start like awaitCurrentState.
func (c *Coordinator) awaitWatchableState(ctx context.Context) (state watchedState, err error) {
	err = c.awaitAfterStart(ctx, func() (err error) {
		state, err = c.watchableState()
		return err
	})
	return state, err
}

// awaitConfiguration waits after a start until a watch of the configuration may be answered. A
// confirmed state only serves watchers that have an older configuration, since the answer that
// there is no newer one has no age.
func (c *Coordinator) awaitConfiguration(ctx context.Context, have uint64) error {
	return c.awaitAfterStart(ctx, func() error {
		state, err := c.watchableState()
		if err != nil {
			return err
		}
		if _, confirmed := state.(confirmedView); confirmed && state.configurationNumber() <= have {
			_, _, err = c.currentState()
		}
		return err
	})
}
