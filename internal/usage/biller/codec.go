package biller

import "github.com/go-faster/jx"

// encodeFigures encodes figures as an array.
func encodeFigures(e *jx.Encoder, figures []Figures) {
	e.Arr(func(e *jx.Encoder) {
		for _, f := range figures {
			e.Obj(func(e *jx.Encoder) {
				e.Field("client-account", func(e *jx.Encoder) { e.Str(f.Account) })
				e.Field("model", func(e *jx.Encoder) { e.Str(f.Model) })
				e.Field("requests", func(e *jx.Encoder) { e.Int64(f.Requests) })
				e.Field("prompt-tokens", func(e *jx.Encoder) { e.Int64(f.PromptTokens) })
				e.Field("output-tokens", func(e *jx.Encoder) { e.Int64(f.OutputTokens) })
			})
		}
	})
}

// decodeFigures decodes an array of figures.
func decodeFigures(d *jx.Decoder) (figures []Figures, err error) {
	err = d.Arr(func(d *jx.Decoder) error {
		f, err := decodeFigure(d)
		figures = append(figures, f)
		return err
	})
	return figures, err
}

func decodeFigure(d *jx.Decoder) (f Figures, err error) {
	err = d.Obj(func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "client-account":
			f.Account, err = d.Str()
		case "model":
			f.Model, err = d.Str()
		case "requests":
			f.Requests, err = d.Int64()
		case "prompt-tokens":
			f.PromptTokens, err = d.Int64()
		case "output-tokens":
			f.OutputTokens, err = d.Int64()
		default:
			err = d.Skip()
		}
		return err
	})
	return f, err
}
