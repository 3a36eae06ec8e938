package exchange

const LeavingTimeout = leavingTimeout
