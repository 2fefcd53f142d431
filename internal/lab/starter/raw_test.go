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

// cmdRaw sends a file as it stands over one connection and writes what comes
// back until the other side closes: raw [-half] FILE ADDRESS REQUEST.
//
// Lines of the request end in CRLF, but for the last, which has no end. With
// -half the sending side is closed after the request.
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
	answer, err := io.ReadAll(c)
	if err != nil && len(answer) == 0 {
		answer = []byte(err.Error())
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), answer, 0o600))
}

// cmdFill writes a file that has a text many times, between two other files if
// these are given: fill FILE COUNT TEXT [BEFORE AFTER].
func cmdFill(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	text := strings.Repeat(args[2], n)
	if len(args) > 4 {
		text = strings.TrimSuffix(ts.ReadFile(args[3]), "\n") + text + ts.ReadFile(args[4])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}
