;; Tags requests for /serials/NAME/... with X-Serial: NAME, and counts them in "tagged".
(module
  (memory (export "memory") 2)
  (global (export "plovertrail_abi") i32 (i32.const 1))
  (global (export "plovertrail_buffer") i32 (i32.const 1024))
  (global (export "plovertrail_buffer_size") i32 (i32.const 65536))
  (data (i32.const 0) "/serials/")
  ;; count (69): "tagged" by 1; then set a header (65) with a name of 8 bytes; its value's length comes later
  (data $verdict "\45\00\06\00\04\00\00\00" "tagged" "\01\00\00\00" "\41\00\08\00\00\00\00\00" "X-Serial")

  ;; the address of the path's record: the first one with the tag 2
  (func $path (result i32)
    (local $at i32)
    (local.set $at (i32.const 1028))
    (loop $next
      (if (i32.ne (i32.load16_u (local.get $at)) (i32.const 2))
        (then
          (local.set $at
            (i32.add (i32.add (local.get $at) (i32.const 8))
                     (i32.add (i32.load16_u offset=2 (local.get $at)) (i32.load offset=4 (local.get $at)))))
          (br $next))))
    (local.get $at))

  (func (export "on_request") (result i32)
    (local $at i32) (local $end i32) (local $i i32) (local $size i32)
    (local.set $at (call $path))
    (local.set $end (i32.add (i32.add (local.get $at) (i32.const 8)) (i32.load offset=4 (local.get $at))))
    (local.set $at (i32.add (local.get $at) (i32.const 8)))
    ;; does it begin with /serials/ ?
    (loop $next
      (if (i32.ge_u (i32.add (local.get $at) (local.get $i)) (local.get $end)) (then (return (i32.const 0))))
      (if (i32.ne (i32.load8_u (i32.add (local.get $at) (local.get $i))) (i32.load8_u (local.get $i)))
        (then (return (i32.const 0))))
      (local.set $i (i32.add (local.get $i) (i32.const 1)))
      (br_if $next (i32.lt_u (local.get $i) (i32.const 9))))
    (local.set $at (i32.add (local.get $at) (i32.const 9)))
    ;; the name ends with the path or the next slash
    (block $done
      (loop $next
        (br_if $done (i32.ge_u (i32.add (local.get $at) (local.get $size)) (local.get $end)))
        (br_if $done (i32.eq (i32.load8_u (i32.add (local.get $at) (local.get $size))) (i32.const 47)))
        (local.set $size (i32.add (local.get $size) (i32.const 1)))
        (br $next)))
    (if (i32.eqz (local.get $size)) (then (return (i32.const 0))))
    ;; the verdict takes the place of what was told, so the name moves first
    (memory.copy (i32.const 1058) (local.get $at) (local.get $size))
    (memory.init $verdict (i32.const 1024) (i32.const 0) (i32.const 34))
    (i32.store (i32.const 1046) (local.get $size))
    (i32.add (i32.const 34) (local.get $size))))
