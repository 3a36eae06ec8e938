package command

// clusterCommand is 'rockwind cluster'.
type clusterCommand struct {
	Status clusterStatus `cmd:"" help:"Show the replicated groups as each control machine sees them."`
}

// clusterStatus is 'rockwind cluster status'.
type clusterStatus struct{}

// Run prints one row for each group and machine.
func (*clusterStatus) Run(s *session) error {
	machines, err := s.askMachines()
	if err != nil {
		return err
	}
	people := &table{header: []string{"GROUP", "MACHINE", "ADDRESS", "ROLE", "TERM", "LEADER", "COMMIT", "APPLIED", "LAST"}}
	for _, machine := range machines {
		addGroups(people, machine)
	}
	return s.printer.print(machinesJSON(machines), people)
}

func addGroups(people *table, machine machineState) {
	if machine.identity == nil {
		people.add("-", "-", machine.address, "no answer", "-", "-", "-", "-", "-")
		return
	}
	identity := machine.identity
	if len(identity.GetGroups()) == 0 {
		people.add("-", identity.GetMachine(), machine.address, "in no group", "-", "-", "-", "-", "-")
	}
	for _, group := range identity.GetGroups() {
		people.add(number(group.GetGroup()), identity.GetMachine(), machine.address, roleName(group.GetVoter(), group.GetLeader() == identity.GetDiskId()),
			number(group.GetTerm()), orDash(group.GetLeaderAddress()), number(group.GetCommit()), number(group.GetApplied()), number(group.GetLast()))
	}
}

func roleName(voter, leader bool) string {
	switch {
	case leader:
		return "leader"
	case voter:
		return "voter"
	default:
		return "learner"
	}
}
