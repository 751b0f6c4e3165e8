package traffic

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"sync/atomic"
	"time"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/bench"
	"samphireflow/internal/claim"
)

const (
	claimCount    = 100_000
	inFlightCount = 1000
	mebibyte      = 1 << 20
	// inFlightWork is how long a call runs, and thus stays in flight. Callers give up after the same time.
	inFlightWork = 10 * time.Second
)

// measureClaimMemory measures the memory of a claim holder's claims that have finished with a short response.
func measureClaimMemory(context.Context, int64) ([]bench.Result, error) {
	before := heapBytes()
	store := claim.NewStore()
	now := time.Now()
	kept := 0
	for i := range claimCount {
		key := fmt.Sprintf("rota booking-%08d", i)
		attempt := &apiv1.ClaimAttempt{Node: "hobart-rota-1", Incarnation: 1, Number: uint64(i)}
		granted := store.Claim(&apiv1.ClaimRequest{
			Key: key, Digest: make([]byte, 16), Attempt: attempt, RetentionMs: 600_000,
		}, now).Status == apiv1.ClaimStatus_CLAIM_STATUS_GRANTED
		if !granted {
			continue
		}
		kept++
		store.Finish(&apiv1.FinishRequest{Key: key, Attempt: attempt, Call: &apiv1.StoredCall{
			Status: http.StatusOK, Body: make([]byte, 150), Headers: []*apiv1.StoredHeader{{Name: "Content-Type", Values: []string{"application/json"}}},
		}}, now)
	}
	used := heapBytes() - before
	runtime.KeepAlive(store)
	return []bench.Result{
		bench.Figure("claims that a holder keeps of 100,000", float64(kept), "claims"),
		bench.Figure("memory of 100,000 claims", used/float64(kept)*claimCount/mebibyte, "MiB"),
	}, nil
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureInFlightMemory measures the memory of a node with 1,000 calls in flight.
func measureInFlightMemory(ctx context.Context, _ int64) ([]bench.Result, error) {
	layout := lookupLayout()
	layout.Slots = inFlightCount
	layout.Connections = 4 * inFlightCount
	layout.Work = inFlightWork
	running, err := startDeployment(ctx, layout, false)
	if err != nil {
		return nil, err
	}
	defer running.stop()
	before, err := residentBytes(running.node.PID)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, inFlightWork)
	defer cancel()
	client := newClient(inFlightCount)
	var answered atomic.Int64
	for i := range inFlightCount {
		go func() {
			r, _ := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+running.node.CallerAddr+"/rota/"+strconv.Itoa(i), nil)
			if response, err := client.Do(r); err == nil {
				_ = response.Body.Close()
				answered.Add(1)
			}
		}()
	}
	peak := before
	for range 20 {
		time.Sleep(roundDuration / 20)
		now, err := residentBytes(running.node.PID)
		if err != nil {
			return nil, err
		}
		peak = max(peak, now)
	}
	inFlight := inFlightCount - float64(answered.Load())
	return []bench.Result{
		bench.Figure("memory of a node at rest", before/mebibyte, "MiB"),
		bench.Figure("memory of 1,000 calls in flight", (peak-before)/mebibyte*inFlightCount/inFlight, "MiB"),
	}, nil
}
