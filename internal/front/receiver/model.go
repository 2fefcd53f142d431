package receiver

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/base/acceptor"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/identifier"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/front/decoder"
	"foxtailflow.example/foxtailflow/internal/front/encoder"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
	"foxtailflow.example/foxtailflow/internal/request/enforcer"
)

func (rc Receiver) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	rc.serve(w, r, func(id string, charge chargeFunc) (carrier.Request, reserver.Reservation, error) {
		return rc.modelRequest(w, r, id, charge, decoder.DecodeChat)
	})
}

func (rc Receiver) completion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	rc.serve(w, r, func(id string, charge chargeFunc) (carrier.Request, reserver.Reservation, error) {
		return rc.modelRequest(w, r, id, charge, decoder.DecodeCompletion)
	})
}

func (rc Receiver) plain(w http.ResponseWriter, r *http.Request) {
	rc.serve(w, r, func(id string, charge chargeFunc) (carrier.Request, reserver.Reservation, error) {
		return rc.plainRequest(w, r, id, charge)
	})
}

// chargeFunc charges the request to the quota of its client account.
type chargeFunc func(account string, tokens enforcer.Tokens) error

// serve builds the request, passes it to the handler and finishes the response.
func (rc Receiver) serve(w http.ResponseWriter, r *http.Request, build func(id string, charge chargeFunc) (carrier.Request, reserver.Reservation, error)) {
	id := identifier.NewRequestID()
	w.Header().Set(encoder.HeaderRequestID, id)
	var charge enforcer.Charge
	req, held, err := build(id, func(account string, tokens enforcer.Tokens) (err error) {
		charge, err = rc.Quotas.Charge(account, tokens)
		return err
	})
	defer held.Release()
	if err != nil {
		rc.Quotas.Settle(charge, err)
		f := coder.FromError(err)
		rc.Log.Info().Str("request", id).Int("code", int(f.Code())).Str("outcome", f.Outcome().String()).
			Str("path", r.URL.Path).Msg("request refused")
		if f.Code() == coder.MemoryFull || f.Code() == coder.RateLimited {
			// The read deadline bounds the time in which the body is discarded.
			_ = http.NewResponseController(w).SetReadDeadline(rc.Clock.Now().Add(rc.limits().BodyTimeout))
			acceptor.RespondBeforeBody(w, r, func() { encoder.WriteRefusal(w, f) })
			return
		}
		encoder.WriteRefusal(w, f)
		return
	}
	// A caller may take that long to read a chunk of its response.
	resp := newResponse(rc.Clock, w, req, rc.limits().WriteTimeout)
	result := rc.Handler.Do(r.Context(), req, resp)
	if b, ok := req.Body.Stream.(*streamedBody); ok && r.Context().Err() != nil {
		result.Err = b.requestError(result.Err)
	}
	rc.Quotas.Settle(charge, result.Err)
	resp.finish(r, result)
}

// limits returns the limits of the configuration in force, or the default ones.
func (rc Receiver) limits() definer.Limits {
	if cfg, err := rc.Configs.Config(); err == nil {
		return cfg.Limits()
	}
	return definer.DefaultLimits()
}

func (rc Receiver) modelRequest(w http.ResponseWriter, r *http.Request, id string, charge chargeFunc, decode func([]byte) (decoder.CompletionRequest, error)) (carrier.Request, reserver.Reservation, error) {
	now := rc.Clock.Now()
	cfg, err := rc.Configs.Config()
	if err != nil {
		return carrier.Request{}, reserver.Reservation{}, err
	}
	if err := checkHeader(r, cfg.Limits()); err != nil {
		return carrier.Request{}, reserver.Reservation{}, err
	}
	// The API key is checked before the body is read, so that a caller without one
	// cannot make a node buffer large bodies.
	caller, err := authenticator.Identify(cfg, r.Header.Get("Authorization"))
	openModel := hasOpenModel(cfg)
	if err != nil && !openModel {
		return carrier.Request{}, reserver.Reservation{}, err
	}
	// What a request costs in tokens, and whether it is for an open route, is known only
	// from its body.
	charged := !openModel && caller.Account.Quota.Unit != definer.QuotaTokens
	if charged {
		if err := charge(caller.Account.Name, enforcer.Tokens{}); err != nil {
			return carrier.Request{}, reserver.Reservation{}, err
		}
	}
	limits := cfg.Limits()
	body, held, err := rc.readBody(w, r, limits.MaxBody, limits.BodyTimeout, now)
	if err != nil {
		return carrier.Request{}, reserver.Reservation{}, err
	}
	p, err := decode(body)
	if err != nil {
		return carrier.Request{}, held, err
	}
	route, ok := cfg.RouteByModel(p.Model)
	if !ok {
		return carrier.Request{}, held, coder.Refuse(coder.UnknownModel, "there is no model %q", p.Model)
	}
	req, err := rc.newRequest(cfg, route, r, id, now)
	if err != nil {
		return carrier.Request{}, held, err
	}
	if p.Stream && !p.IncludeUsage {
		body = p.BodyWithUsage()
		req.HideUsage = true
	}
	req.Body = carrier.BytesBody(body)
	req.Stream = p.Stream
	req.Prompt = p.RawPrompt
	req.PromptTokens = p.EstimateTokens()
	req.MaxTokens = p.MaxTokens
	if !charged {
		err = charge(req.Account, enforcer.Tokens{Count: req.Work(), Named: true})
	}
	return req, held, err
}

func hasOpenModel(cfg definer.Config) bool {
	for _, r := range cfg.Routes() {
		if r.Kind == definer.Model && r.Access == definer.Open {
			return true
		}
	}
	return false
}

// maxBufferedBody is the size in bytes up to which the body of a plain request is
// buffered for a second attempt, which a request that may be repeated can get.
const maxBufferedBody = 64 << 10

func (rc Receiver) plainRequest(w http.ResponseWriter, r *http.Request, id string, charge chargeFunc) (carrier.Request, reserver.Reservation, error) {
	now := rc.Clock.Now()
	cfg, err := rc.Configs.Config()
	if err != nil {
		return carrier.Request{}, reserver.Reservation{}, err
	}
	if err := checkHeader(r, cfg.Limits()); err != nil {
		return carrier.Request{}, reserver.Reservation{}, err
	}
	route, ok := cfg.RouteByPath(r.URL.Path)
	if !ok {
		return carrier.Request{}, reserver.Reservation{}, coder.Refuse(coder.UnknownPath, "there is no route for %s %s", r.Method, r.URL.Path)
	}
	req, err := rc.newRequest(cfg, route, r, id, now)
	if err != nil {
		return carrier.Request{}, reserver.Reservation{}, err
	}
	limits := cfg.Limits()
	maxBody := limits.MaxBody
	if route.MaxBody > 0 {
		maxBody = route.MaxBody
	}
	if r.ContentLength > maxBody {
		return carrier.Request{}, reserver.Reservation{}, coder.Refuse(coder.BodyTooLarge, "the body is larger than %d bytes", maxBody)
	}
	if err := charge(req.Account, enforcer.Tokens{}); err != nil {
		return carrier.Request{}, reserver.Reservation{}, err
	}
	req.PromptTokens = 1
	// A request with an idempotency key is compared with its repeats by its body.
	small := r.ContentLength >= 0 && r.ContentLength <= maxBufferedBody
	if small || req.IdempotencyKey != "" {
		body, held, err := rc.readBody(w, r, maxBody, limits.BodyTimeout, now)
		if err != nil {
			return carrier.Request{}, reserver.Reservation{}, err
		}
		return req.WithBody(carrier.BytesBody(body)), held, nil
	}
	stream := &streamedBody{
		body:    http.MaxBytesReader(w, r.Body, maxBody),
		control: http.NewResponseController(w),
		clock:   rc.Clock,
		limit:   maxBody,
		timeout: limits.BodyTimeout,
	}
	return req.WithBody(carrier.Body{Stream: stream, Length: r.ContentLength}), reserver.Reservation{}, nil
}

// newRequest returns a request with the fields that model and plain requests share.
func (rc Receiver) newRequest(cfg definer.Config, route definer.Route, r *http.Request, id string, now time.Time) (carrier.Request, error) {
	caller, err := rc.authorize(cfg, route, r)
	if err != nil {
		return carrier.Request{}, err
	}
	until, err := deadline(now, route, r.Header)
	if err != nil {
		return carrier.Request{}, err
	}
	key, err := idempotencyKey(r.Header)
	if err != nil {
		return carrier.Request{}, err
	}
	from := acceptor.CallerOf(r.Context())
	from.SetAccount(caller.Account.Name)
	if err := from.Reserve(); err != nil {
		return carrier.Request{}, err
	}
	return carrier.Request{
		ID:             id,
		Account:        caller.Account.Name,
		KeyID:          caller.KeyID,
		Route:          route,
		ConfigVersion:  cfg.Version(),
		Method:         r.Method,
		Target:         r.URL.RequestURI(),
		Header:         carrier.Header(r.Header),
		Caller:         from,
		Arrived:        now,
		Deadline:       until,
		IdempotencyKey: key,
	}, nil
}

// maxIdempotencyKey is the maximum length of an idempotency key in bytes.
const maxIdempotencyKey = 255

func idempotencyKey(h http.Header) (string, error) {
	keys := h.Values(encoder.HeaderIdempotencyKey)
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKey {
		return "", coder.Refuse(coder.ClaimKeyMalformed, "%s must be one value of 1 to %d bytes", encoder.HeaderIdempotencyKey, maxIdempotencyKey)
	}
	return keys[0], nil
}

// maxMemoryWait is the longest time for which a body waits for memory.
const maxMemoryWait = 600 * time.Millisecond

// readBody reads a complete body; the reservation of its memory is released when the
// request has ended.
func (rc Receiver) readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, now time.Time) ([]byte, reserver.Reservation, error) {
	// A caller that sends its body slowly must not hold memory indefinitely.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(now.Add(timeout + maxMemoryWait))
	if r.ContentLength > limit {
		return nil, reserver.Reservation{}, coder.Refuse(coder.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	body, held, err := rc.Memory.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, maxMemoryWait)
	if err != nil {
		if coder.Is(err, coder.MemoryFull) {
			return nil, held, err
		}
		return nil, held, bodyError(err, limit, timeout)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, held, nil
}
