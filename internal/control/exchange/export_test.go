package exchange

// Its figure that the tests use.
const LeavingTimeout = leavingFor
