package idempotency

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// conflictRetryAfter is the Retry-After of responses sent while the first request
// is running. The header has a resolution of 1 s.
const conflictRetryAfter = time.Second

// Wrap returns a handler that runs each request with a token at most once in next.
// next sets the outcome in the header Mulberrytray-Outcome; a response without the
// header has the outcome unknown. Requests without a token are passed to next
// unchanged.
func (r *Registry) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		t, p := requestToken(req)
		switch {
		case p != nil:
			p.Write(w)
		case t == nil:
			next.ServeHTTP(w, req)
		default:
			r.serve(w, req, t, next)
		}
	})
}

// requestToken returns the request's token, or nil if it has none.
func requestToken(req *http.Request) (*token, *outcome.Problem) {
	keys := req.Header.Values(outcome.HeaderIdempotencyKey)
	var found *token
	for _, key := range keys {
		if t, ok := decode(strings.TrimSpace(key)); ok {
			found = t
		}
	}
	if found != nil && len(keys) > 1 {
		return nil, invalid("more than one idempotency key")
	}
	return found, nil
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request, t *token, next http.Handler) {
	if p := r.verify(req, t); p != nil {
		p.Write(w)
		return
	}
	requestLine := requestLineDigest(req)
	e, first, p := r.record(t, requestLine)
	switch {
	case p != nil:
		p.Write(w)
	case first:
		r.run(w, req, t, e, next)
	default:
		r.resend(w, req, e)
	}
}

// verify checks that this registry issued the token for the request's service.
func (r *Registry) verify(req *http.Request, t *token) *outcome.Problem {
	if t.nodeID != r.cfg.NodeID || t.incarnation != r.cfg.Incarnation {
		return outcome.New(http.StatusGone, outcome.ReasonTokenLost, outcome.Unknown,
			"the token was issued by another node or incarnation").WithField(outcome.HeaderIdempotencyKey)
	}
	if !t.authentic(r.secret) {
		return invalid("the token's signature is wrong")
	}
	if service := serviceOf(req); t.service != service {
		return mismatch("the token is for service " + strconv.Quote(t.service))
	}
	return nil
}

func serviceOf(req *http.Request) string {
	if s := req.Header.Get(outcome.HeaderService); s != "" {
		return s
	}
	label, _, _ := strings.Cut(req.Host, ".")
	return label
}

// record returns the entry of the token's key. If first is true, record has added the
// entry, and the caller must run the request.
func (r *Registry) record(t *token, requestLine digest) (e *entry, first bool, p *outcome.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.advance()
	expires := t.issued() + r.cfg.TTL
	if now >= expires+r.cfg.Retention {
		return nil, false, expired(outcome.Unknown, "the token expired and its key is no longer remembered")
	}
	e = r.keys[t.nonce]
	switch {
	case e == nil && now >= expires:
		return nil, false, expired(outcome.NotRun, "the token expired before it was used")
	case e == nil:
		e = &entry{requestLine: requestLine}
		r.keys[t.nonce] = e
		return e, true, nil
	case e.requestLine != requestLine:
		return nil, false, mismatch("the key was used with another method, path or query")
	case e.state == stateRunning:
		return nil, false, outcome.New(http.StatusConflict, outcome.ReasonTokenConflict, outcome.Unknown,
			"a request with this key is running").WithRetryAfter(conflictRetryAfter)
	}
	return e, false, nil
}

// run passes the first request of a key to next and records the result.
func (r *Registry) run(w http.ResponseWriter, req *http.Request, t *token, e *entry, next http.Handler) {
	rec := &recorder{ResponseWriter: w, limit: r.cfg.MaxResponseBytes}
	var body *hashingBody
	returned := false
	// Deferred, so that the key becomes unknown on a panic or runtime.Goexit in next.
	defer func() {
		if !returned {
			r.finish(t, e, body.digest(), rec, outcome.Unknown)
		}
	}()
	out := req.WithContext(req.Context())
	if out.Body == nil {
		out.Body = http.NoBody
	}
	body = newHashingBody(out)
	if out.Body != http.NoBody {
		out.Body = body
	}
	next.ServeHTTP(rec, out)
	returned = true
	o := rec.outcome()
	if o == outcome.Run && !rec.complete(req.Method) {
		o = outcome.Unknown
	}
	r.finish(t, e, body.digest(), rec, o)
	rec.sendBuffered()
}

// finish sets the final state of a key, or removes the key if the request was not run.
func (r *Registry) finish(t *token, e *entry, body bodyDigest, rec *recorder, o outcome.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	retained := r.keys[t.nonce] == e
	e.body = body
	switch o {
	case outcome.NotRun:
		if retained {
			delete(r.keys, t.nonce)
		}
	case outcome.Run:
		e.state, e.status = stateRun, rec.status
		if resp := rec.response(); resp != nil && retained {
			r.storeResponse(e, resp)
		}
	default:
		e.state = stateUnknown
	}
}

// resend responds to a request whose key has a final state.
func (r *Registry) resend(w http.ResponseWriter, req *http.Request, e *entry) {
	r.mu.Lock()
	body := e.body
	r.mu.Unlock()
	if req.Body == nil {
		req.Body = http.NoBody
	}
	same, err := body.matches(req)
	switch {
	case err != nil:
		outcome.New(http.StatusBadRequest, outcome.ReasonBadRequest, outcome.Unknown, "reading the body: "+err.Error()).Write(w)
		return
	case !same:
		mismatch("the key was used with another body").Write(w)
		return
	}
	r.mu.Lock()
	state, status, resp := e.state, e.status, e.response
	r.mu.Unlock()
	switch {
	case state != stateRun:
		outcome.New(http.StatusGone, outcome.ReasonTokenLost, outcome.Unknown, "it is not known whether the first request was run").Write(w)
	case resp == nil:
		outcome.New(http.StatusConflict, outcome.ReasonTokenConflict, outcome.Run,
			fmt.Sprintf("the request was run and answered with status %d; the answer is no longer kept", status)).Write(w)
	default:
		maps.Copy(w.Header(), resp.header.Clone())
		w.WriteHeader(resp.status)
		_, _ = w.Write(resp.body)
	}
}

func invalid(detail string) *outcome.Problem {
	return outcome.New(http.StatusBadRequest, outcome.ReasonTokenInvalid, outcome.NotRun, detail).WithField(outcome.HeaderIdempotencyKey)
}

func mismatch(detail string) *outcome.Problem {
	return outcome.New(http.StatusUnprocessableEntity, outcome.ReasonTokenMismatch, outcome.NotRun, detail).WithField(outcome.HeaderIdempotencyKey)
}

func expired(o outcome.Outcome, detail string) *outcome.Problem {
	return outcome.New(http.StatusGone, outcome.ReasonTokenExpired, o, detail).WithField(outcome.HeaderIdempotencyKey)
}
