package repair_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/replica/repair"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// view parses a membership such as "A B- c>2 d": capital letters are voters, others learners, with identities from 1
// on; > names the replaced member. A member ends with - if it has been inactive for long, with ~ if it is for 0.9 s, with ! if it
// must leave, with = if it is complete, with ? if it has stored nothing new for long, and with ^ if it is a witness.
func view(target int, text string) repair.View {
	v := repair.View{Self: 1, Target: target}
	for position, word := range strings.Fields(text) {
		name, marks := word[:1], word[1:]
		member := repair.Member{
			Member: &rockwindpb.Member{
				Id: uint64(position + 1), Machine: strings.ToUpper(name), Address: strings.ToUpper(name),
				Learner: name == strings.ToLower(name), Witness: strings.Contains(marks, "^"),
			},
			Active: true, MustLeave: strings.Contains(marks, "!"), Complete: strings.Contains(marks, "="),
		}
		if _, err := fmt.Sscanf(marks, ">%d", &member.Replaces); err != nil {
			member.Replaces = 0
		}
		if strings.Contains(marks, "-") {
			member.Active, member.Inactive = false, time.Minute
		}
		if strings.Contains(marks, "~") {
			member.Active, member.Inactive = false, 900*time.Millisecond
		}
		if strings.Contains(marks, "?") {
			member.Stalled = time.Minute
		}
		v.Members = append(v.Members, member)
	}
	return v
}

// describe is the reverse of view, with the names of replaced members.
func describe(membership *rockwindpb.Membership) string {
	names := make(map[uint64]string)
	for _, member := range membership.GetMembers() {
		names[member.GetId()] = member.GetMachine()
	}
	var words []string
	for _, member := range membership.GetMembers() {
		word := member.GetMachine()
		if member.GetLearner() {
			word = strings.ToLower(word)
		}
		if member.GetReplaces() != 0 {
			word += ">" + names[member.GetReplaces()]
		}
		if member.GetWitness() {
			word += "^"
		}
		if member.GetAddress() != member.GetMachine() {
			word += "@" + member.GetAddress()
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// TestSteps guards against replacements that are not completed, that take members away too early, and that one member
// holds up for all others.
func TestSteps(t *testing.T) {
	for name, test := range map[string]struct {
		target  int
		members string
		want    []string
	}{
		"whole group":                                              {3, "A B C", nil},
		"lost member without a replacement":                        {3, "A B C-", nil},
		"complete learner":                                         {3, "A B C- d>3=", []string{"A B C D>C"}},
		"incomplete learner":                                       {3, "A B C- d>3", nil},
		"complete learner without contact":                         {3, "A B C- d>3=~", nil},
		"replaced member":                                          {3, "A B C- D>3", []string{"A B D"}},
		"replaced member that is back":                             {3, "A B C D>3", []string{"A B D"}},
		"replaced by its machine":                                  {3, "A B C- C", []string{"A B C"}},
		"name of an ended replacement":                             {3, "A>3 B C", nil},
		"names of ended replacements are dropped":                  {3, "A>3 B>9 C- D>3", []string{"A B D"}},
		"removal before a promotion":                               {5, "A B C D- E- F>4 g>5=", []string{"A B C E F g>E", "A B C D E F>D G>E"}},
		"both promotions are possible":                             {5, "A B C D- E- f>4= g>5=", []string{"A B C D E F>D g>E", "A B C D E f>D G>E"}},
		"leader is replaced last":                                  {3, "A! B C- d>3= E>1", []string{"A B C D>C E>A", "transfer"}},
		"second learner of a replaced member":                      {3, "A B C- D>3 e>3", []string{"A B D e", "A B C D>C"}},
		"second learner after the removal":                         {3, "A B D e", []string{"A B D"}},
		"learner of a free place":                                  {3, "A B c=", []string{"A B C"}},
		"learner of a free place beside a replacement":             {4, "A B C- D>3 e", []string{"A B D e"}},
		"learner of a free place beside a fresh loss":              {4, "A B~ c=", nil},
		"learner of a free place beside a loss":                    {4, "A B C- d=", []string{"A B C d>C"}},
		"learner of a free place beside a replacement in progress": {5, "A B C- d>3 e=", nil},
		"lost learner":                                             {3, "A B C d>3-", []string{"A B C"}},
		"learner without contact for a moment":                     {3, "A B C- d>3~", nil},
		"inactive voter beyond the target":                         {3, "A B C- D", []string{"A B D"}},
		"active voter beyond the target":                           {3, "A B C D", nil},
		"voters beyond an unknown target":                          {0, "A B C- D", nil},
		"witness":                                                  {3, "A B C S^- t>4^=", []string{"A B C S^ T>S^"}},
		"replaced witness":                                         {3, "A B C S^- T>4^", []string{"A B C T^"}},
		"witness beside an incomplete group":                       {3, "A B S^ T^", nil},
		"learner that no witness needs":                            {3, "A B C S^ t^=", []string{"A B C S^"}},
		"leader at another address":                                {3, "A@ B C- D>3", []string{"A B D", "A@new B C D>C"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := view(test.target, test.members)
			if strings.HasPrefix(test.members, "A@") {
				v.Address = "new"
			}
			var got []string
			for _, step := range v.Steps() {
				if step.TransferLeadership {
					got = append(got, "transfer")
				} else {
					got = append(got, describe(step.Change))
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("the steps are %q, want %q", got, test.want)
			}
		})
	}
}

// TestAdmit guards against machines that are refused although a member is missing, and against groups that grow
// beyond their target.
func TestAdmit(t *testing.T) {
	spare := repair.Candidate{Machine: "X", DiskID: 90, Address: "X", MayHold: true, AdmitNew: true}
	with := func(change func(*repair.Candidate)) repair.Candidate {
		changed := spare
		change(&changed)
		return changed
	}
	known := func(machine string) repair.Candidate {
		return with(func(c *repair.Candidate) { c.Machine = machine; c.Address = machine })
	}
	witness := with(func(c *repair.Candidate) { c.MayHold, c.MayWitness = false, true })
	for name, test := range map[string]struct {
		target    int
		members   string
		candidate repair.Candidate
		want      string
	}{
		"whole group":                          {3, "A B C", spare, "not_needed"},
		"lost member":                          {3, "A B C-", spare, "A B C x>C"},
		"member that may be back at once":      {3, "A B C~", spare, "not_needed"},
		"name of an ended replacement":         {3, "A>3 B C-", spare, "A B C x>C"},
		"replacement in progress":              {3, "A B C- d>3", spare, "not_needed"},
		"replacement that is a voter":          {3, "A B C- D>3", spare, "not_needed"},
		"learner that is lost":                 {3, "A B C- d>3-", spare, "A B C x>C"},
		"learner without contact for a moment": {3, "A B C- d>3~", spare, "not_needed"},
		"learner that stalls":                  {3, "A B C- d>3?", spare, "A B C d>C x>C"},
		"two learners that stall":              {3, "A B C- d>3? e>3?", spare, "not_needed"},
		"second loss beside a replacement":     {5, "A B C D- E- f>4", spare, "A B C D E f>D x>E"},
		"second loss beside a stalled one":     {5, "A B C D- E- f>4? g>4?", spare, "A B C D E f>D g>D x>E"},
		"loss before one that must leave":      {5, "A! B C D E-", spare, "A B C D E x>E"},
		"member that must leave":               {3, "A B! C", spare, "A B C x>B"},
		"two that must leave":                  {3, "A! B! C d>1", spare, "A B C d>A x>B"},
		"free place":                           {5, "A B C D", spare, "A B C D x"},
		"free place and a lost member":         {5, "A B C D-", spare, "A B C D x>D"},
		"free place beside a fresh loss":       {5, "A B C D~", spare, "not_needed"},
		"free place that is taken":             {4, "A B C d", spare, "not_needed"},
		"free place whose learner is lost":     {4, "A B C d-", spare, "A B C x"},
		"free place whose learner stalls":      {4, "A B C d?", spare, "A B C d x"},
		"no target":                            {0, "A B C", spare, "not_needed"},
		"unknown name":                         {3, "A B C-", with(func(c *repair.Candidate) { c.AdmitNew = false }), "unknown_name"},
		"machine that must leave":              {3, "A B C-", with(func(c *repair.Candidate) { c.MustLeave = true }), "leaving"},
		"machine of another region":            {3, "A B C-", with(func(c *repair.Candidate) { c.MayHold = false }), "wrong_region"},
		"own disk is lost":                     {3, "A B C~", known("C"), "A B C c>C"},
		"own disk is lost, unknown names":      {0, "A B C~", with(func(c *repair.Candidate) { c.Machine, c.Address, c.AdmitNew = "C", "C", false }), "A B C c>C"},
		"own disk is lost beside a learner":    {3, "A B C- d>3", known("C"), "not_needed"},
		"own disk is lost twice":               {3, "A B C- c>3~", known("C"), "A B C c>C"},
		"disk of a learner is lost":            {3, "A B C- d>3~", known("D"), "A B C d>C"},
		"disk of a learner for a free place":   {4, "A B C d~", known("D"), "A B C d"},
		"name of an active member":             {3, "A B C", known("C"), "name_in_use"},
		"member":                               {3, "A B C", with(func(c *repair.Candidate) { c.Machine, c.DiskID, c.Address = "C", 3, "C" }), "is_member"},
		"member at another address":            {3, "A B C~", with(func(c *repair.Candidate) { c.Machine, c.DiskID, c.Address = "C", 3, "new" }), "A B C@new"},
		"active member at another address":     {3, "A B C", with(func(c *repair.Candidate) { c.Machine, c.DiskID, c.Address = "C", 3, "new" }), "is_member"},
		"lost witness":                         {3, "A B C S^-", witness, "A B C S^ x>S^"},
		"second witness beside a replacement":  {3, "A B C S^- T^- u>4^", witness, "A B C S^ T^ u>S^ x>T^"},
		"no lost witness":                      {3, "A B C- S^", witness, "not_needed"},
		"spare beside a lost witness":          {3, "A B C S^-", spare, "not_needed"},
	} {
		t.Run(name, func(t *testing.T) {
			changed, refused := view(test.target, test.members).Admit(test.candidate)
			got := string(refused)
			if refused == repair.Admitted {
				got = describe(changed)
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
			if refused == repair.Admitted && test.candidate == spare && !view(test.target, test.members).NeedsMember() {
				t.Error("the group needs no member, but admits one")
			}
		})
	}
}

// TestShrink guards against groups whose quorum counts a lost member that no machine replaces, and against groups that
// lose members without a gain.
func TestShrink(t *testing.T) {
	for name, test := range map[string]struct {
		target  int
		members string
		want    string
	}{
		"lost member":                     {5, "A B C- D", "A B D"},
		"one of two lost members":         {7, "A B- C- D E F", "A C D E F"},
		"member that may be back":         {5, "A B C~ D", ""},
		"odd number of voters":            {5, "A B C-", ""},
		"no loss":                         {5, "A B C D", ""},
		"fixed size":                      {0, "A B C- D", ""},
		"replacement in progress":         {5, "A B C- D e>3", ""},
		"replacement that is a voter":     {5, "A B C- D>3", ""},
		"two members":                     {5, "A B-", ""},
		"lost member beside witnesses":    {5, "A B C- D S^ T^", "A B D S^ T^"},
		"lost witness":                    {5, "A B C S^-", ""},
		"last copy but one beside others": {5, "A B- S^ T^", ""},
	} {
		t.Run(name, func(t *testing.T) {
			shrunk, due := view(test.target, test.members).Shrink()
			if got := describe(shrunk); due != (test.want != "") || got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestReason guards against operators who look for a cause in the wrong place.
func TestReason(t *testing.T) {
	for members, want := range map[string]map[int]repair.Reason{
		"A B C~":         {0: repair.Inactive, 1: repair.Inactive},
		"A B C-":         {0: repair.NoSpare, 2: repair.SpareRefused},
		"A B C- d>3":     {0: repair.Copying, 1: repair.Copying},
		"A B C- d>3-":    {0: repair.NoSpare, 1: repair.SpareRefused},
		"A B C- D>3":     {0: repair.Changing},
		"A B- C- d>3 E~": {0: repair.NoSpare},
	} {
		for asking, reason := range want {
			if got := view(5, members).Reason(asking); got != reason {
				t.Errorf("%s with %d machines asking: %s, want %s", members, asking, got, reason)
			}
		}
	}
}
