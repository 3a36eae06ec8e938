package replica_test

import (
	"testing"
	"time"
)

// On a site of many machines each holds replicas of a few of the groups only.
const (
	manyMachines = 20
	manyShards   = 20
)

// TestMachinesThatOfferAPlaceCostLittle: every machine of a large site could take a place
// in the groups that it has no replica of. While none is vacant each asks one other at a
// time, and is told nothing that it knows.
func TestMachinesThatOfferAPlaceCostLittle(t *testing.T) {
	inBubbleWith(t, manyMachines, manyShards, admitNew, func(f *fleet) {
		f.eventually("all groups have leaders", func() bool { return f.ledGroups() == manyShards+1 })
		// Each machine asks all others once, and hears their groups.
		time.Sleep(2 * time.Minute)
		f.network.takeJoins()
		const seconds = 60
		time.Sleep(seconds * time.Second)
		calls, bytes := f.network.takeJoins()
		// An election timeout is a second in the tests.
		if most := manyMachines * seconds; calls > most {
			t.Errorf("%d calls to join in %d seconds, more than %d", calls, seconds, most)
		}
		if most := 64 * calls; bytes > most {
			t.Errorf("%d bytes answered to %d calls, more than %d", bytes, calls, most)
		}
	})
}

// TestPlacesOfALostMachineAreTakenSoon: that machines ask one other at a time does not
// leave groups with a replica less for long.
func TestPlacesOfALostMachineAreTakenSoon(t *testing.T) {
	inBubbleWith(t, manyMachines, manyShards, admitNew, func(f *fleet) {
		f.eventually("all groups have leaders", func() bool { return f.ledGroups() == manyShards+1 })
		time.Sleep(time.Minute)
		lost := f.machines[3]
		f.lose(lost)
		began := time.Now()
		for group := range uint32(manyShards + 1) {
			f.eventually("the places of the lost machine are taken", func() bool {
				members := f.membersOf(group)
				return len(members) == 5 && holds(members, members[0], lost.name)
			})
		}
		if took := time.Since(began); took > 15*time.Second {
			t.Errorf("it took %s until all groups were whole", took)
		}
	})
}

// ledGroups counts the groups that have a leader.
func (f *fleet) ledGroups() int {
	led := 0
	for group := range uint32(manyShards + 1) {
		if f.leaderNow(group) != nil {
			led++
		}
	}
	return led
}
