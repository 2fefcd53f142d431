// Package encoder encodes the node's own messages to callers.
//
// They have the format that OpenAI clients expect. The numbered result code is in
// the field code, so that the error type of a client library shows it.
package encoder

import (
	"net/http"
	"strconv"

	"github.com/go-faster/jx"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// The headers of callers' requests and responses.
const (
	HeaderRequestID      = "Foxtailflow-Request-Id"
	HeaderOutcome        = "Foxtailflow-Outcome"
	HeaderTimeout        = "Foxtailflow-Timeout"
	HeaderReplayed       = "Foxtailflow-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// EncodeRefusal encodes the body of a refusal.
func EncodeRefusal(f coder.Error) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("error", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				e.Field("message", func(e *jx.Encoder) { e.Str(f.Message()) })
				e.Field("type", func(e *jx.Encoder) { e.Str(errorType(f.Code())) })
				e.Field("param", func(e *jx.Encoder) { e.Null() })
				e.Field("code", func(e *jx.Encoder) { e.Str(strconv.Itoa(int(f.Code()))) })
				e.Field("outcome", func(e *jx.Encoder) { e.Str(f.Outcome().String()) })
			})
		})
	})
	return e.Bytes()
}

// EncodeErrorEvent encodes the event that ends an incomplete stream.
func EncodeErrorEvent(f coder.Error) []byte {
	return append(append([]byte("data: "), EncodeRefusal(f)...), "\n\n"...)
}

// WriteRefusal sends a refusal as the complete response.
func WriteRefusal(w http.ResponseWriter, f coder.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, f.Outcome().String())
	if d := f.RetryAfter(); d > 0 {
		seconds := int64((d + 999_999_999) / 1_000_000_000)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body := EncodeRefusal(f)
	// With a length, the response is complete before the body of its request is read.
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(Status(f.Code()))
	_, _ = w.Write(body)
}

// Status returns the HTTP status of a result code.
func Status(c coder.Code) int {
	switch c {
	case coder.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case coder.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case coder.UnknownModel, coder.UnknownPath:
		return http.StatusNotFound
	case coder.MethodNotServed:
		return http.StatusMethodNotAllowed
	case coder.SlowCaller:
		return http.StatusRequestTimeout
	case coder.KeyMissing, coder.KeyUnknown, coder.OperatorCredential:
		return http.StatusUnauthorized
	case coder.KeyNotForRoute:
		return http.StatusForbidden
	case coder.RateLimited, coder.ConcurrencyFull, coder.QueueFull, coder.WouldMissTime:
		return http.StatusTooManyRequests
	case coder.DeadlinePassed, coder.AnswerLate:
		return http.StatusGatewayTimeout
	case coder.EndpointUnreachable, coder.EndpointFailed, coder.AnswerCut, coder.AnswerCrossed, coder.EndpointRefused,
		coder.ConnectionLost, coder.EndpointReplaced, coder.EndpointLimited, coder.EndpointLeaving, coder.EndpointPaused, coder.OtherAttemptUsed:
		return http.StatusBadGateway
	case coder.ClaimInProgress, coder.ClaimOutcomeLost, coder.ClaimAnswerNotKept, coder.ConfigConflict:
		return http.StatusConflict
	case coder.ClaimOtherBody:
		return http.StatusUnprocessableEntity
	case coder.ConfigNotInForce:
		return http.StatusAccepted
	case coder.ClaimUnavailable:
		return http.StatusServiceUnavailable
	case coder.Internal:
		return http.StatusInternalServerError
	}
	switch c {
	case coder.ConfigNotLoaded, coder.ConfigOutcomeUnsure:
		return http.StatusServiceUnavailable
	}
	switch c / 100 {
	case 1, 3, 8:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func errorType(c coder.Code) string {
	switch status := Status(c); {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// EncodeModels encodes the list of models that a caller may use.
func EncodeModels(routes []definer.Route) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("object", func(e *jx.Encoder) { e.Str("list") })
		e.Field("data", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, r := range routes {
					encodeModel(e, r)
				}
			})
		})
	})
	return e.Bytes()
}

func encodeModel(e *jx.Encoder, r definer.Route) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(r.Model) })
		e.Field("object", func(e *jx.Encoder) { e.Str("model") })
		e.Field("created", func(e *jx.Encoder) { e.Int(0) })
		e.Field("owned_by", func(e *jx.Encoder) { e.Str("foxtailflow") })
	})
}
