package inflight_test

import (
	"slices"
	"testing"
	"time"

	"eidertrail/internal/inflight"
)

func sendThree(queue *inflight.Queue) (first, second, third *inflight.Attempt) {
	return queue.Send(1 * time.Second), queue.Send(2 * time.Second), queue.Send(3 * time.Second)
}

func assertBacklog(tb testing.TB, queue *inflight.Queue, want ...*inflight.Attempt) {
	tb.Helper()
	if got := queue.Backlog(); !slices.Equal(got, want) {
		tb.Errorf("backlog of %d attempts %v, want %v", len(got), got, want)
	}
}

func TestQueue_BacklogIsInOrderOfSending(t *testing.T) {
	var queue inflight.Queue
	assertBacklog(t, &queue)

	first, second, third := sendThree(&queue)
	assertBacklog(t, &queue, first, second, third)
	if first.SentAt != time.Second {
		t.Errorf("sent at %v, want 1 s", first.SentAt)
	}
	queue.Remove(second)
	assertBacklog(t, &queue, first, third)
	queue.Remove(second)
	assertBacklog(t, &queue, first, third)
}

func TestQueue_AnswerOvertakesEarlierAttempts(t *testing.T) {
	var queue inflight.Queue
	first, second, third := sendThree(&queue)

	queue.Answer(second)
	assertBacklog(t, &queue, third)
	if !queue.Overtaken(first) || queue.Overtaken(second) || queue.Overtaken(third) {
		t.Errorf("overtaken: %v, %v, %v, want the first alone",
			queue.Overtaken(first), queue.Overtaken(second), queue.Overtaken(third))
	}
	queue.Answer(first) // a late answer changes nothing for the others
	assertBacklog(t, &queue, third)
	if queue.Overtaken(third) {
		t.Error("overtaken by an attempt sent earlier")
	}
}

func TestQueue_RemovedAttemptOvertakesNone(t *testing.T) {
	var queue inflight.Queue
	first, second, third := sendThree(&queue)

	queue.Remove(third)
	assertBacklog(t, &queue, first, second)
	if queue.Overtaken(first) {
		t.Error("overtaken by an attempt that was not answered")
	}
}

func TestQueue_RestartedForgetsAnswersAndKeepsAttempts(t *testing.T) {
	var queue inflight.Queue
	first, second, third := sendThree(&queue)
	queue.Answer(second)

	restarted := queue.Restarted()
	assertBacklog(t, &restarted, first, third)
	fourth := restarted.Send(4 * time.Second)
	restarted.Answer(fourth)
	if !restarted.Overtaken(third) {
		t.Error("an attempt sent after the restart has no later number")
	}
}

func TestQueue_LenCountsOvertakenAttempts(t *testing.T) {
	var queue inflight.Queue
	_, second, _ := sendThree(&queue)
	queue.Answer(second)
	if got := queue.Len(); got != 2 {
		t.Errorf("%d attempts, want 2", got)
	}
}
