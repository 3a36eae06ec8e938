package upstream

import (
	"testing"
	"time"
)

// hungFirst is a request whose first back end never answers.
func hungFirst(repeatable bool) scenario {
	return scenario{
		Stream: true, Repeatable: repeatable, Hedge: 100,
		Scripts: [][]script{
			{{Behaviour: hangBeforeHead, Step: 1}},
			{{Behaviour: answerWhole, Step: 1}},
			{{Behaviour: answerWhole, Step: 1}},
		},
	}
}

func TestHedgeAnswersForABackEndThatHangs(t *testing.T) {
	found := play(t, hungFirst(true))
	if !found.result.Complete || found.result.Hedges != 1 || found.result.Target.Name != "b" {
		t.Fatalf("%+v", found.result)
	}
	if found.result.FirstByte != 100*time.Millisecond {
		t.Fatalf("the answer began after %v", found.result.FirstByte)
	}
}

func TestRequestThatMayNotBeRepeatedIsNeverHedged(t *testing.T) {
	found := play(t, hungFirst(false))
	if found.result.Hedges != 0 || found.result.Attempts != 1 || found.runs > 1 {
		t.Fatalf("%+v after %d runs", found.result, found.runs)
	}
}
