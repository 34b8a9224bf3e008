//! Control process: replicated configuration and ledger on VMs with a disk
