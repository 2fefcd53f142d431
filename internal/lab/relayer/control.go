package relayer

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Handler returns the control interface of the relay.
//
// POST /lab/link sets the rule for the source "from" and the target "to" to the
// given "cut", "reset" and "delay"; a call with none of the three removes the
// rule. Without "from" and "to", the rule holds for all connections and replaces
// all other rules.
func (r *Relay) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/lab/link", func(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
		rule, err := parseRule(req.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetRule(rule)
	})
	router.GET("/lab/record", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		for _, rule := range r.rules.Get().rules {
			_, _ = fmt.Fprintf(w, "rule from=%s to=%s cut=%t reset=%t delay=%v\n", rule.From, rule.To, rule.Cut, rule.Reset, rule.Delay)
		}
	})
	return router
}

func parseRule(q url.Values) (r Rule, err error) {
	for name := range q {
		v := q.Get(name)
		switch name {
		case "from":
			r.From = v
		case "to":
			r.To = v
		case "cut":
			r.Cut, err = strconv.ParseBool(v)
		case "reset":
			r.Reset, err = strconv.ParseBool(v)
		case "delay":
			r.Delay, err = time.ParseDuration(v)
		default:
			err = fmt.Errorf("unknown query value %q", name)
		}
		if err != nil {
			return r, err
		}
	}
	return r, nil
}
