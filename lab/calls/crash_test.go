package calls

import (
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/quarantine"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/engine"
	"github.com/trefoilwell/trefoilwell/lab/proxy"
)

// engineDowntime is how long an engine is unreachable after a crash.
const engineDowntime = 200 * time.Millisecond

// deadlyText crashes the engines of this process only: while an engine is down, a copy of these tests
// may take its port.
var (
	deadlyText    = fmt.Sprintf("deadly %d", os.Getpid())
	deadlyMessage = fmt.Sprintf(`{"role":"user","content":%q}`, deadlyText)
)

// chatBody returns a completion request with a system prompt, further messages and one that no
// other request has.
func chatBody(stream bool, n int, messages ...string) string {
	all := append([]string{`{"role":"system","content":"be brief"}`}, messages...)
	all = append(all, fmt.Sprintf(`{"role":"user","content":"question %d"}`, n))
	return fmt.Sprintf(`{"model":"polish-7b","stream":%t,"max_tokens":5,"messages":[%s]}`, stream, strings.Join(all, ","))
}

// crashingRouter is a router with a quarantine, and engines that a deadly message crashes and that are
// unreachable for downtime then.
func crashingRouter(t *testing.T, engines int, downtime time.Duration) (r *router, crashes *atomic.Int64) {
	t.Helper()
	crashes = &atomic.Int64{}
	var addresses []string
	for range engines {
		var p *proxy.Proxy
		crash := func() {
			crashes.Add(1)
			p.StopListening()
			time.AfterFunc(downtime, func() {
				for range 1000 {
					if p.ResumeListening() == nil {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		fake := engine.New(engine.Options{
			FirstToken: 10 * time.Millisecond, ColdLimit: 100, RestartTime: time.Millisecond, DeadlyText: deadlyText, OnCrash: crash,
		})
		var err error
		if p, err = proxy.New(listen(t, fake)); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		addresses = append(addresses, p.Address())
	}
	guard := quarantine.New(quarantine.Options{
		VM: "vm-1", Config: func() *version.Config { return r.fleet.Config() }, Log: slog.New(slog.DiscardHandler),
	})
	r = newRouter(t, routerOptions{engineAddresses: addresses, serve: serve.Options{Guard: guard}})
	go func() { _ = guard.Run(t.Context()) }()
	go func() { _ = guard.Check(t.Context()) }()
	return r, crashes
}

// Guards against a message that crashes every engine being sent to one engine after the other
// by the OpenAI form too: after a few crashes its requests are refused at once, not to be
// repeated, and requests that share all other messages are answered.
func TestChatsWithAMessageThatCrashesEnginesAreRefused(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream=%t", stream), func(t *testing.T) {
			r, crashes := crashingRouter(t, 4, engineDowntime)
			n := 0
			sound := func() answer {
				n++
				return r.chat(t, chatBody(stream, n, `{"role":"user","content":"shared"}`))
			}
			refused := false
			for deadline := time.Now().Add(20 * time.Second); !refused; {
				if time.Now().After(deadline) {
					t.Fatalf("the message is not refused after %d crashes", crashes.Load())
				}
				n++
				got := r.chat(t, chatBody(stream, n, `{"role":"user","content":"shared"}`, deadlyMessage))
				refused = strings.Contains(got.body, string(request.ReasonPromptHeld))
				if refused && (got.status != http.StatusBadRequest || got.header.Get("Retry-After") != "") {
					t.Errorf("refused with status %d and Retry-After %q, want 400 without it", got.status, got.header.Get("Retry-After"))
				}
				for range 8 {
					sound()
					time.Sleep(20 * time.Millisecond)
				}
			}
			if got := crashes.Load(); got > 6 {
				t.Errorf("%d engines crashed until the message was refused, want at most 6", got)
			}
			before := crashes.Load()
			time.Sleep(2 * engineDowntime)
			for range 10 {
				n++
				got := r.chat(t, chatBody(stream, n, deadlyMessage))
				if got.status != http.StatusBadRequest || got.header.Get(serve.HeaderExecution) != string(request.NotExecuted) {
					t.Errorf("status %d, execution %q, want 400 and not-run", got.status, got.header.Get(serve.HeaderExecution))
				}
				if got := sound(); got.status != http.StatusOK || got.err != nil {
					t.Errorf("status %d, error %v of a sound request", got.status, got.err)
				}
			}
			if crashes.Load() > before {
				t.Error("an engine crashed after the message was held")
			}
		})
	}
}

// Guards against a message that crashes an engine again and again because the engine is back within
// moments, under the identifier that it had: each of these crashes counts.
func TestChatsWithAMessageThatCrashesOneEngineAreRefused(t *testing.T) {
	r, crashes := crashingRouter(t, 1, 500*time.Millisecond)
	n := 0
	chat := func(messages ...string) answer {
		n++
		return r.chat(t, chatBody(false, n, append([]string{`{"role":"user","content":"shared"}`}, messages...)...))
	}
	for deadline := time.Now().Add(20 * time.Second); ; {
		got := chat(deadlyMessage)
		if strings.Contains(got.body, string(request.ReasonPromptHeld)) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the message is not refused after %d crashes", crashes.Load())
		}
		for answered := 0; answered < 3; time.Sleep(20 * time.Millisecond) {
			if got := chat(); got.status == http.StatusOK && got.err == nil {
				answered++
			}
		}
	}
	if got := crashes.Load(); got > 6 {
		t.Errorf("the engine crashed %d times until the message was refused, want at most 6", got)
	}
}

// Guards against one chat that crashes every engine being sent to one engine after the other when
// it comes again: no other request has the message that crashes them.
func TestChatThatCrashesEnginesIsRefusedWhenItComesAgain(t *testing.T) {
	r, crashes := crashingRouter(t, 4, engineDowntime)
	body := `{"model":"polish-7b","max_tokens":5,"messages":[{"role":"system","content":"be brief"},` + deadlyMessage + `]}`
	sound := func(n int) answer { return r.chat(t, chatBody(false, n, `{"role":"user","content":"shared"}`)) }
	for n := range 12 {
		got := r.chat(t, body)
		if n >= 8 && (got.status != http.StatusBadRequest || got.header.Get(serve.HeaderExecution) != string(request.NotExecuted) || got.header.Get("Retry-After") != "") {
			t.Errorf("time %d: status %d, execution %q, want 400 and not-run", n, got.status, got.header.Get(serve.HeaderExecution))
		}
		for i := range 8 {
			sound(100*n + i)
			time.Sleep(20 * time.Millisecond)
		}
	}
	if got := crashes.Load(); got > 6 {
		t.Errorf("%d engines crashed, want at most 6", got)
	}
	time.Sleep(2 * engineDowntime)
	if got := sound(5000); got.status != http.StatusOK {
		t.Errorf("status %d of a sound request", got.status)
	}
}
