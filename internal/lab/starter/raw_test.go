package starter_test

import (
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// rawLimit bounds a connection of cmdRaw.
const rawLimit = 15 * time.Second

// cmdRaw sends the bytes of a file over one connection and writes all that is
// received until the other side closes it: raw [-half] FILE ADDRESS REQUEST.
//
// The lines of the request are sent with CRLF, the last one without a line end.
// With -half the sending side is closed after the request.
func cmdRaw(ts *testscript.TestScript, _ bool, args []string) {
	half := args[0] == "-half"
	if half {
		args = args[1:]
	}
	text := strings.TrimSuffix(ts.ReadFile(args[2]), "\n")
	c, err := net.Dial("tcp", args[1])
	ts.Check(err)
	defer func() { _ = c.Close() }()
	ts.Check(c.SetDeadline(time.Now().Add(rawLimit)))
	_, err = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	ts.Check(err)
	if half {
		ts.Check(c.(*net.TCPConn).CloseWrite())
	}
	response, err := io.ReadAll(c)
	if err != nil && len(response) == 0 {
		response = []byte(err.Error())
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), response, 0o600))
}

// cmdFill writes a file that repeats a text COUNT times, between the contents
// of two other files if these are given: fill FILE COUNT TEXT [BEFORE AFTER].
func cmdFill(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	text := strings.Repeat(args[2], n)
	if len(args) > 4 {
		text = strings.TrimSuffix(ts.ReadFile(args[3]), "\n") + text + ts.ReadFile(args[4])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}
