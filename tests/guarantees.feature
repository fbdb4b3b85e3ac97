Feature: What must hold while processes, disks and connections fail
  Callers and operators work against a cell of separate processes. After the
  fault and a time to settle, the history of callers, operators and targets
  shows no violation.

  Scenario Outline: Guarantees hold during a fault
    Given a cell with 2 entries and 8 targets
    And callers and operators at work with seed <seed>
    When <fault>
    Then no promise was broken

    Examples:
      | seed | fault                                     |
      | 1    | the leader is killed                      |
      | 2    | the leader is killed twice                |
      | 3    | an entry is killed                        |
      | 4    | two targets are killed                    |
      | 5    | the leader is paused                      |
      | 6    | a target is paused                        |
      | 7    | an entry is paused                        |
      | 8    | the leader is isolated                    |
      | 14   | the leader hears nothing                  |
      | 9    | all connections of the leader fall silent |
      | 10   | all connections of an entry fall silent   |
      | 13   | all replicas are killed                   |
      | 15   | a data centre is lost                     |
      | 16   | a data centre is cut off                  |

  Scenario Outline: Guarantees hold during two concurrent faults
    Given a cell with 2 entries and 8 targets
    And callers and operators at work with seed <seed>
    When <fault> and <other> at once
    Then no promise was broken

    Examples:
      | seed | fault                  | other                  |
      | 11   | the leader is killed   | two targets are killed |
      | 12   | the leader is killed   | an entry is isolated   |
      | 17   | the leader is isolated | a target is paused     |

  Scenario: A lost disk and a second loss right after the repair
    Given a cell with 2 entries and 6 targets and 1 spare
    And callers and operators at work with seed 21
    When a follower loses its disk and comes back
    And the replaced voter is repaired and another follower is killed
    Then no promise was broken

  Scenario: A replica comes back after hundreds of changes
    Given a cell with 2 entries and 6 targets and snapshots every 100 entries
    And callers and operators at work with seed 26
    When a follower misses hundreds of changes and the leader is killed
    Then no promise was broken

  Scenario: Targets that answer late and twice
    Given a cell with 2 entries and 6 targets that answer late or twice
    And callers and operators at work with seed 22
    When 10 seconds pass
    Then no promise was broken

  Scenario: Cancellations arrive in waves
    Given a cell with 2 entries and 6 targets
    And cancelling callers and operators at work with seed 23
    When the leader is killed
    Then no promise was broken

  Scenario: A target that fails everything is set aside
    Given a cell with 2 entries and 6 targets of which one fails everything
    And callers and operators at work with seed 24
    When 10 seconds pass
    Then no promise was broken
    And the failing target is in quarantine

  Scenario: A planned stop of every process cuts off no request
    Given a cell with 3 entries and 6 targets
    And balanced callers and operators at work with seed 25
    When every process in turn is stopped and started again
    Then no promise was broken
    And no request was cut off

  Scenario: An accepted configuration is in force wherever work is taken
    Given a cell with 3 entries and 4 targets
    When an entry is isolated and a patch is accepted
    Then within 7 seconds each entry has the version or takes no work

  Scenario: A full disk is survived without a false acknowledgement
    Given a replica with a small disk
    When entries are written until the disk is full
    Then every acknowledged entry is read back
