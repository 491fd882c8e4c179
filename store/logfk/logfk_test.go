package logfk_test

import (
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/logts"
	"kumquathinge/store/logfk"
)

func TestConforms(tst *testing.T) {
	logts.Test(tst, func(*testing.T) logts.Fixture {
		lgs := logfk.New(time.Now)
		cli := lgs.Client()
		return logts.Fixture{
			Log:      cli,
			Truncate: func(num int) { lgs.Trim(lgs.Next() - core.Offset(num)) },
			SetRefusing: func(on bool) {
				if on {
					cli.Fail(logfk.Refuse)
				}
			},
			LoseResponses: func(num int) {
				for range num {
					cli.Fail(logfk.LoseAfter)
				}
			},
			SetDown: lgs.Down,
		}
	})
}
