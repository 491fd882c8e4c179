package core_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
)

func ExampleSet() {
	set := core.NewSet("b", "a")
	set.Add("c")
	fmt.Println(set.Sorted(), set.Has("a"), set.Len())
	// Output: [a b c] true 3
}

func ExampleOption() {
	fmt.Println(core.Some(3).Or(1), core.None[int]().Or(1))
	// Output: 3 1
}

func TestCodeOf(t *testing.T) {
	tests := []struct {
		name string
		give error
		want core.Code
	}{
		{"nil", nil, core.CodeOK},
		{"plain", errors.New("x"), core.CodeUnknownOutcome},
		{"coded", core.Errorf(core.CodeDeadline, "late by %d", 3), core.CodeDeadline},
		{"wrapped", fmt.Errorf("w: %w", core.Errorf(core.CodeRefused, "no")), core.CodeRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, core.CodeOf(tt.give), tt.want)
		})
	}
}
