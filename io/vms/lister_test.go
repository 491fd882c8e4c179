package vms_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/io/vms"
	"kumquathinge/stand"
)

func TestLister(t *testing.T) {
	one := core.VM{Name: "a", Addr: "127.0.0.1:1", Zone: "z", Domain: "d", Kind: core.VMEngine}
	two := core.VM{Name: "b", Addr: "127.0.0.1:2", Zone: "z", Kind: core.VMEntry}
	leaving := one
	leaving.Leaving = true
	tests := []struct {
		name string
		give stand.VMsFault
		want []core.VM
		code core.Code
	}{
		{"newest", stand.VMsFault{}, []core.VM{one, two}, core.CodeOK},
		{"lagging", stand.VMsFault{Lag: stand.Span(time.Hour)}, []core.VM{one}, core.CodeOK},
		{"leaving", stand.VMsFault{Leaving: []core.VMName{"a"}}, []core.VM{leaving, two}, core.CodeOK},
		{"refused", stand.VMsFault{Fault: stand.Fault{Refuse: true}}, nil, core.CodeLogDown},
		{"connections drop", stand.VMsFault{Fault: stand.Fault{Down: true}}, nil, core.CodeLogDown},
		{"silent", stand.VMsFault{Fault: stand.Fault{Freeze: true}}, nil, core.CodeLogDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := stand.NewVMs(one)
			assert.NilError(t, srv.Start("127.0.0.1:0"))
			defer srv.Close()
			srv.Set(one, two)
			srv.SetFault(tt.give)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			lister := vms.New(srv.Addr())
			defer lister.Close()
			got, err := lister.VMs(ctx)
			assert.Equal(t, core.CodeOf(err), tt.code)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

func TestDecodeBad(t *testing.T) {
	for name, give := range map[string]string{
		"empty":      ``,
		"not a list": `{"vms":3}`,
		"no list":    `{}`,
		"cut":        `{"vms":[{"name":"a","addr":"x"}`,
		"no name":    `{"vms":[{"addr":"x"}]}`,
		"no address": `{"vms":[{"name":"a"}]}`,
		"twice":      `{"vms":[{"name":"a","addr":"x"},{"name":"a","addr":"y"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := vms.Decode([]byte(give))
			assert.Equal(t, core.CodeOf(err), core.CodeLogDown)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"vms":[{"name":"a","addr":"x"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := vms.Decode(raw)
		if err != nil {
			assert.Equal(t, core.CodeOf(err), core.CodeLogDown)
			return
		}
		for _, vm := range got {
			assert.Assert(t, vm.Name != "" && vm.Addr != "")
		}
	})
}
