Feature: Guarantees under failures of processes, disks and connections
  Callers and operators send requests to a cell of separate processes. After
  the fault and a recovery time, the recorded history of callers, operators and
  targets contains no violation.

  Scenario Outline: Guarantees hold during a fault
    Given a cell with 2 entries and 8 targets
    And callers and operators active with seed <seed>
    When <fault>
    Then no guarantee is violated

    Examples:
      | seed | fault                                        |
      | 1    | the leader is killed                         |
      | 2    | the leader is killed twice                   |
      | 3    | an entry is killed                           |
      | 4    | two targets are killed                       |
      | 5    | the leader is paused                         |
      | 6    | a target is paused                           |
      | 7    | an entry is paused                           |
      | 8    | the leader is isolated                       |
      | 14   | the leader receives no connections           |
      | 9    | all connections of the leader are blackholed |
      | 10   | all connections of an entry are blackholed   |
      | 13   | all replicas are killed                      |
      | 15   | a data centre is lost                        |
      | 16   | a data centre is isolated                    |

  Scenario Outline: Guarantees hold during two concurrent faults
    Given a cell with 2 entries and 8 targets
    And callers and operators active with seed <seed>
    When <fault> and <other> at once
    Then no guarantee is violated

    Examples:
      | seed | fault                  | other                  |
      | 11   | the leader is killed   | two targets are killed |
      | 12   | the leader is killed   | an entry is isolated   |
      | 17   | the leader is isolated | a target is paused     |

  Scenario: A second replica fails right after a lost disk is replaced
    Given a cell with 2 entries and 6 targets and 1 spare
    And callers and operators active with seed 21
    When a follower restarts with an empty disk
    And a spare has become a voter and another follower is killed
    Then no guarantee is violated

  Scenario: The disks of all replicas are lost one after another
    Given a cell with 2 entries and 6 targets and early repair
    And callers and operators active with seed 27
    When each replica has a snapshot and loses its disk in turn
    Then no guarantee is violated

  Scenario: A replica restarts after missing hundreds of changes
    Given a cell with 2 entries and 6 targets and snapshots every 100 entries
    And callers and operators active with seed 26
    When a follower misses hundreds of changes and the leader is killed
    Then no guarantee is violated

  Scenario: Targets that respond late or twice
    Given a cell with 2 entries and 6 targets that respond late or twice
    And callers and operators active with seed 22
    When 10 seconds pass
    Then no guarantee is violated

  Scenario: Jobs are cancelled while the leader fails
    Given a cell with 2 entries and 6 targets
    And cancelling callers and operators active with seed 23
    When the leader is killed
    Then no guarantee is violated

  Scenario: A target that fails every task is quarantined
    Given a cell with 2 entries and 6 targets of which one fails every task
    And callers and operators active with seed 24
    When 10 seconds pass
    Then no guarantee is violated
    And the failing target is in quarantine

  Scenario: A rolling restart interrupts no request
    Given a cell with 3 entries and 6 targets
    And load-balanced callers and operators active with seed 25
    When all processes are restarted one after another
    Then no guarantee is violated
    And no request was interrupted

  Scenario: Every entry that accepts work has the accepted configuration
    Given a cell with 3 entries and 4 targets
    When an entry is isolated and a patch is accepted
    Then within 7 seconds each entry has the version or accepts no work

  Scenario: A full disk causes no false acknowledgement
    Given a replica with a small disk
    When entries are written until the disk is full
    Then every acknowledged entry can be read back
