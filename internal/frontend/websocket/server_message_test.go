package websocket

import (
	"testing"

	"eidertrail/dispatch"
)

// A kind of final answer that this front has no words for is never sent as one that may be repeated, and each kind that
// dispatch gives has words of its own.
func TestFinalMessage_UnknownKindIsNotSentAsRepeatable(t *testing.T) {
	const unknownKind = dispatch.FinalKind(1000)
	const want = `{"type":"failed","id":"c1","code":"may_have_run","cause":41}`
	if got := string(finalMessage("c1", dispatch.Final{Kind: unknownKind})); got != want {
		t.Errorf("a kind that is not known is sent as %s", got)
	}
	kinds := map[Code]dispatch.FinalKind{}
	for _, kind := range dispatch.FinalKinds() {
		if kind == dispatch.FinalEstablished {
			continue
		}
		_, code := finalTypeAndCode(kind)
		if other, taken := kinds[code]; taken {
			t.Errorf("%v and %v have the code %s", kind, other, code)
		}
		kinds[code] = kind
		if (code == MayHaveRun) != (kind == dispatch.FinalMayHaveRun) {
			t.Errorf("%v has the code %s", kind, code)
		}
	}
}
