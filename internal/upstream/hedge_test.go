package upstream

import (
	"testing"
	"time"
)

// hungFirstBackend is a scenario in which the first backend never responds.
func hungFirstBackend(repeatable bool) scenario {
	return scenario{
		Stream: true, Repeatable: repeatable, HedgeAfter: 100,
		Scripts: [][]script{
			{{Behaviour: hangBeforeHead, Step: 1}},
			{{Behaviour: completeResponse, Step: 1}},
			{{Behaviour: completeResponse, Step: 1}},
		},
	}
}

func TestHedgeAnswersWhenFirstBackendHangs(t *testing.T) {
	found := runScenario(t, hungFirstBackend(true))
	if !found.result.Complete || found.result.Hedges != 1 || found.result.Target.Name != "b" {
		t.Fatalf("%+v", found.result)
	}
	if found.result.FirstByte != 100*time.Millisecond {
		t.Fatalf("the response began after %v", found.result.FirstByte)
	}
}

func TestUnrepeatableRequestIsNotHedged(t *testing.T) {
	found := runScenario(t, hungFirstBackend(false))
	if found.result.Hedges != 0 || found.result.Attempts != 1 || found.runs > 1 {
		t.Fatalf("%+v after %d runs", found.result, found.runs)
	}
}
